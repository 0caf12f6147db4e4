/** Typical requests of callers, by traffic class and idempotency of the service. */
import type {CallerRequest} from '@cuminsill/standins';
import type {ServiceContract} from '@cuminsill/types';

type RequestShape = Pick<CallerRequest, 'method' | 'path' | 'body'>;

type ServiceKind = `${ServiceContract['trafficClass']} ${ServiceContract['idempotency']}`;

const smallBody = Buffer.alloc(400, 'a');
const uploadBody = Buffer.alloc(65_536, 'u');

const smallWrite: RequestShape = {method: 'POST', path: '/orders', body: smallBody};
const fileUpload: RequestShape = {method: 'PUT', path: '/files/1', body: uploadBody};
const itemRead: RequestShape = {method: 'GET', path: '/items/1'};

const requestShapes: Readonly<Record<ServiceKind, RequestShape>> = {
  'interactive idempotent': itemRead,
  'interactive non-idempotent': smallWrite,
  'upload idempotent': fileUpload,
  'upload non-idempotent': {...fileUpload, method: 'POST'},
  'batch idempotent': itemRead,
  'batch non-idempotent': smallWrite,
};

/** Makes a request to a service; only services that are not idempotent get the idempotency key. */
export function makeServiceRequest(service: ServiceContract, key: string): CallerRequest {
  const requestShape = requestShapes[`${service.trafficClass} ${service.idempotency}`];
  return {
    ...requestShape,
    serviceId: service.id,
    idempotencyKey: service.idempotency === 'non-idempotent' ? key : undefined,
    timeoutMs: service.defaultTimeoutMs,
  };
}
