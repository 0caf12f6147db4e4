/** Requests that callers typically send, by traffic class and idempotency of the service. */
import type {CallerRequest} from '@cuminsill/standins';
import type {ServiceContract} from '@cuminsill/types';

type RequestShape = Pick<CallerRequest, 'method' | 'path' | 'body'>;

type RequestKind = `${ServiceContract['trafficClass']} ${ServiceContract['idempotency']}`;

const smallBody = Buffer.alloc(400, 'a');
const uploadBody = Buffer.alloc(65_536, 'u');

const change: RequestShape = {method: 'POST', path: '/orders', body: smallBody};
const upload: RequestShape = {method: 'PUT', path: '/files/1', body: uploadBody};
const query: RequestShape = {method: 'GET', path: '/items/1'};

const requestShapes: Readonly<Record<RequestKind, RequestShape>> = {
  'interactive idempotent': query,
  'interactive non-idempotent': change,
  'upload idempotent': upload,
  'upload non-idempotent': {...upload, method: 'POST'},
  'batch idempotent': query,
  'batch non-idempotent': change,
};

/** Makes a request to a service; services that are not idempotent get the key. */
export function makeServiceRequest(service: ServiceContract, key: string): CallerRequest {
  const shape = requestShapes[`${service.trafficClass} ${service.idempotency}`];
  return {
    ...shape,
    serviceId: service.id,
    idempotencyKey: service.idempotency === 'non-idempotent' ? key : undefined,
    timeoutMs: service.defaultTimeoutMs,
  };
}
