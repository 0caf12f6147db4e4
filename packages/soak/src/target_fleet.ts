/** The targets of a soak: stand-ins behind a link each, with their entries in the store. */
import type {AnswerMode, ObjectTable} from '@cuminsill/standins';
import {EndpointServer, wireEndpoint, wireKinds, wireStart} from '@cuminsill/standins';
import {FaultProxy} from './fault_proxy';
import {bodyOf} from './promise_checks';
import type {HistoryRecorder, TargetEvent} from './soak_history';

/** Address and place of a target; another target may take it over. */
export interface TargetSlot {
  readonly link: FaultProxy;
  readonly linkPort: number;
  readonly failureDomain: string;
}

/** One target and where it runs. */
export interface SoakTarget {
  readonly id: string;
  readonly service: string;
  readonly slot: TargetSlot;
  /** Modes of the next answers. */
  readonly script: AnswerMode[];
  server: EndpointServer | undefined;
  /** Whether an end of the target is under way, so that nothing else ends it as well. */
  isLeaving: boolean;
}

const requestSlots = 4;
const queueLength = 8;
const workMs = 12;
/** How long a target stays cold that starts while requests arrive, in milliseconds. */
export const coldMs = 2_000;

/** All targets. */
export class TargetFleet {
  readonly targets: SoakTarget[] = [];
  private lastNumber = 0;

  constructor(
    private readonly table: ObjectTable,
    private readonly recorder: HistoryRecorder,
    private readonly nowMs: () => number,
  ) {}

  /** Services that have a target. */
  services(): readonly string[] {
    return [...new Set(this.targets.map(({service}) => service))];
  }

  /** Adds a target at an address of its own. */
  async add(service: string, failureDomain: string, forColdMs: number): Promise<SoakTarget> {
    const link = new FaultProxy({host: '127.0.0.1', port: 0});
    const slot = {link, linkPort: await link.start(), failureDomain};
    return this.addAt(slot, service, forColdMs);
  }

  /** Adds a target at an address that another one had. */
  async addAt(slot: TargetSlot, service: string, forColdMs: number): Promise<SoakTarget> {
    this.lastNumber += 1;
    const id = `i-${this.lastNumber}`;
    const target: SoakTarget = {
      id,
      service,
      slot,
      script: [],
      server: undefined,
      isLeaving: false,
    };
    this.targets.push(target);
    await this.run(target, forColdMs);
    return target;
  }

  /** Starts a target, also again under the id that it had. */
  async run(target: SoakTarget, forColdMs: number): Promise<void> {
    const server = this.makeServer(target);
    server.coldMs = forColdMs;
    target.slot.link.upstream = {host: '127.0.0.1', port: await server.start()};
    target.server = server;
    this.writeEntry(target, wireStart(forColdMs, Date.now()));
  }

  /** Ends a target at once. */
  crash(target: SoakTarget): void {
    target.server?.stop();
    target.server = undefined;
  }

  /** Writes that a target leaves; from now on it gets no new work. */
  drain(target: SoakTarget): void {
    this.writeEntry(target, {state: 'draining'});
    this.noteLeaving(target);
  }

  /** Removes the entry of a target. */
  removeEntry(target: SoakTarget): void {
    this.table.remove(wireKinds.targets, target.id);
    this.noteLeaving(target);
  }

  /** Takes a target out of the fleet for good. */
  forget(target: SoakTarget): void {
    this.crash(target);
    this.targets.splice(this.targets.indexOf(target), 1);
  }

  stop(): void {
    for (const target of this.targets) {
      this.crash(target);
      target.slot.link.stop();
    }
  }

  private noteLeaving({id}: SoakTarget): void {
    if (this.recorder.leavings.some(({targetId}) => targetId === id)) return;
    this.recorder.leavings.push({targetId: id, atMs: this.nowMs()});
  }

  private writeEntry({id, service, slot}: SoakTarget, changes: object): void {
    const {linkPort, failureDomain: zone} = slot;
    const known = this.table.get(wireKinds.targets, id)?.spec as object | undefined;
    const fresh = wireEndpoint(linkPort, {service, zone, slots: requestSlots});
    const spec = {...fresh, ...known, ...changes};
    if (known === undefined) this.table.create(wireKinds.targets, id, {spec});
    else this.table.replace(wireKinds.targets, id, {spec});
  }

  private makeServer({id, service, script}: SoakTarget): EndpointServer {
    const note = (event: Omit<TargetEvent, 'atMs' | 'targetId' | 'service'>) =>
      this.recorder.targetEvents.push({
        ...event,
        atMs: this.nowMs(),
        targetId: id,
        service,
      });
    return new EndpointServer({
      id,
      slots: requestSlots,
      queueLength,
      workMs,
      script,
      bodyOf: requestId => bodyOf(id, requestId),
      observer: {
        arrived: requestId => note({kind: 'arrived', requestId}),
        ran: ({id: requestId, method, path, body}) =>
          note({kind: 'ran', requestId, method, path, body}),
        answered: (requestId, status) => note({kind: 'answered', requestId, status}),
      },
    });
  }
}
