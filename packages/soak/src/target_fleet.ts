/** The targets of a soak: stand-ins, each behind a proxy for its link, with their records in the store. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {AnswerMode, ObjectTable} from '@cuminsill/standins';
import {EndpointServer, wireEndpoint, wireKinds, wireEndpointStart} from '@cuminsill/standins';
import {crashesTargets} from './caller_traffic';
import {FaultProxy} from './fault_proxy';
import {answerBody} from './promise_checks';
import type {HistoryRecorder, TargetEvent} from './soak_history';

/** Address and failure domain of a target. Another target may reuse them later. */
export interface TargetLocation {
  readonly link: FaultProxy;
  readonly linkPort: number;
  readonly failureDomain: string;
}

/** One target with its location and its stand-in server. */
export interface SoakTarget {
  readonly id: string;
  readonly service: string;
  readonly location: TargetLocation;
  /** How the target answers its next requests; normally when empty. */
  readonly nextAnswerModes: AnswerMode[];
  server: EndpointServer | undefined;
  /** Whether a fault is already ending the target, so that no second fault does. */
  isLeaving: boolean;
}

const slotsPerTarget = 4;
const queueLength = 8;
const serviceTimeMs = 12;
/** How long a target that starts during the run stays cold, in milliseconds. */
export const coldMs = 2_000;
/** Time until a target starts again that a request has crashed, in milliseconds. */
const crashedMs = 1_500;

/** All targets of a run. */
export class TargetFleet {
  readonly targets: SoakTarget[] = [];
  /** Links of all targets that were ever started, because an address may outlive its target. */
  private readonly links = new Set<FaultProxy>();
  private lastTargetNumber = 0;
  private isStopped = false;

  constructor(
    private readonly table: ObjectTable,
    private readonly recorder: HistoryRecorder,
    private readonly nowMs: () => number,
  ) {}

  /** Services that have at least one target. */
  services(): readonly string[] {
    return [...new Set(this.targets.map(({service}) => service))];
  }

  /** Starts a target at a new address. */
  async add(service: string, failureDomain: string, coldDurationMs: number): Promise<SoakTarget> {
    const link = new FaultProxy({host: '127.0.0.1', port: 0});
    this.links.add(link);
    const location = {link, linkPort: await link.start(), failureDomain};
    return this.addAtLocation(location, service, coldDurationMs);
  }

  /** Starts a target at the address of a former one. */
  async addAtLocation(
    location: TargetLocation,
    service: string,
    coldDurationMs: number,
  ): Promise<SoakTarget> {
    this.lastTargetNumber += 1;
    const id = `i-${this.lastTargetNumber}`;
    const target: SoakTarget = {
      id,
      service,
      location,
      nextAnswerModes: [],
      server: undefined,
      isLeaving: false,
    };
    this.targets.push(target);
    await this.startTarget(target, coldDurationMs);
    return target;
  }

  /** Starts the server of a target, also after a crash, and writes its record to the store. */
  async startTarget(target: SoakTarget, coldDurationMs: number): Promise<void> {
    target.server?.stop();
    const server = this.makeServer(target);
    server.becomeCold(coldDurationMs);
    target.location.link.upstream = {host: '127.0.0.1', port: await server.start()};
    target.server = server;
    this.writeRecord(target, wireEndpointStart(coldDurationMs, Date.now()));
  }

  /** Stops the server of a target without notice. */
  crash(target: SoakTarget): void {
    target.server?.stop();
    target.server = undefined;
  }

  /** Marks a target as draining in the store, after which it must get no new requests. */
  drain(target: SoakTarget): void {
    this.writeRecord(target, {state: 'draining'});
    this.recordDeparture(target);
  }

  /** Removes the record of a target from the store. */
  removeRecord(target: SoakTarget): void {
    this.table.remove(wireKinds.targets, target.id);
    this.recordDeparture(target);
  }

  /** Stops a target and removes it from the fleet. */
  remove(target: SoakTarget): void {
    this.crash(target);
    this.targets.splice(this.targets.indexOf(target), 1);
  }

  stop(): void {
    this.isStopped = true;
    for (const target of this.targets) this.crash(target);
    for (const link of this.links) link.stop();
  }

  private recordDeparture({id}: SoakTarget): void {
    if (this.recorder.leavings.some(({targetId}) => targetId === id)) return;
    this.recorder.leavings.push({targetId: id, atMs: this.nowMs()});
  }

  private writeRecord({id, service, location}: SoakTarget, changes: object): void {
    const {linkPort, failureDomain: zone} = location;
    const currentSpec = this.table.get(wireKinds.targets, id)?.spec as object | undefined;
    const newSpec = wireEndpoint(linkPort, {service, zone, slots: slotsPerTarget});
    const spec = {...newSpec, ...currentSpec, ...changes};
    if (currentSpec === undefined) this.table.create(wireKinds.targets, id, {spec});
    else this.table.replace(wireKinds.targets, id, {spec});
  }

  /** Starts a target again that a request has crashed, unless another fault has ended it. */
  private async restartAfterCrash(target: SoakTarget, path: string): Promise<void> {
    target.server = undefined;
    const fromMs = this.nowMs();
    const {id: targetId} = target;
    this.recorder.crashes.push({targetId, path, atMs: fromMs});
    await sleep(crashedMs);
    const untilMs = this.nowMs();
    this.recorder.disruptions.push({
      subject: targetId,
      kind: 'crashing-request',
      planned: false,
      fromMs,
      untilMs,
    });
    const isEnded = this.isStopped || !this.targets.includes(target);
    if (!isEnded && target.server === undefined) await this.startTarget(target, 0);
  }

  private makeServer(target: SoakTarget): EndpointServer {
    const {id, service, nextAnswerModes} = target;
    const recordEvent = (event: Omit<TargetEvent, 'atMs' | 'targetId' | 'service'>) =>
      this.recorder.targetEvents.push({
        ...event,
        atMs: this.nowMs(),
        targetId: id,
        service,
      });
    return new EndpointServer({
      id,
      slots: slotsPerTarget,
      queueLength,
      workMs: serviceTimeMs,
      script: nextAnswerModes,
      bodyOf: requestId => answerBody(id, requestId),
      observer: {
        onArrived: requestId => recordEvent({kind: 'arrived', requestId}),
        onRun: ({id: requestId, method, path, body}) =>
          recordEvent({kind: 'ran', requestId, method, path, body}),
        onAnswered: (requestId, status) => recordEvent({kind: 'answered', requestId, status}),
        onCrashed: ({path}) => void this.restartAfterCrash(target, path),
      },
      crashesOn: crashesTargets,
    });
  }
}
