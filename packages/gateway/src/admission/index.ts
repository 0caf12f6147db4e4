/** Admission: which requests are sent when targets are short of capacity, and which are refused at once. */
export type {Admission, AdmissionInput, RefusalReason} from './admit';
export {admit, spreadRetry} from './admit';
export type {AdmissionRecord} from './admit_request';
export {ServiceAdmissions, admitRequest, rankOrderOf} from './admit_request';
export type {AdmissionRequest} from './service_admission';
export {ServiceAdmission} from './service_admission';
