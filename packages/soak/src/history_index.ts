/** The history of a run, indexed for the checks of promises. */
import type {PromiseBounds} from './promise_bounds';
import type {Disruption, SentRequest, SoakHistory, TargetEvent} from './soak_history';

/** The history, indexed for the checks. */
export class HistoryIndex {
  readonly requestById: ReadonlyMap<string, SentRequest>;
  readonly runsById: ReadonlyMap<string, readonly TargetEvent[]>;
  readonly arrivalsById: ReadonlyMap<string, readonly TargetEvent[]>;
  readonly answersById: ReadonlyMap<string, readonly TargetEvent[]>;

  constructor(
    readonly history: SoakHistory,
    private readonly bounds: PromiseBounds,
  ) {
    this.requestById = new Map(history.requests.map(request => [request.id, request]));
    this.runsById = eventsByRequest(history.targetEvents, 'ran');
    this.arrivalsById = eventsByRequest(history.targetEvents, 'arrived');
    this.answersById = eventsByRequest(history.targetEvents, 'answered');
  }

  runsOf(id: string): readonly TargetEvent[] {
    return this.runsById.get(id) ?? [];
  }

  arrivalsOf(id: string): readonly TargetEvent[] {
    return this.arrivalsById.get(id) ?? [];
  }

  /** Whether a relevant disruption of a subject overlaps the period, or the `stabilityMs` before it. */
  isDisrupted(
    subjects: readonly string[],
    fromMs: number,
    untilMs: number,
    isRelevant: (disruption: Disruption) => boolean = () => true,
  ): boolean {
    const {stabilityMs} = this.bounds;
    return this.history.disruptions.some(
      disruption =>
        subjects.includes(disruption.subject) &&
        disruption.fromMs <= untilMs &&
        disruption.untilMs + stabilityMs >= fromMs &&
        isRelevant(disruption),
    );
  }
}

function eventsByRequest(
  events: readonly TargetEvent[],
  kind: TargetEvent['kind'],
): ReadonlyMap<string, readonly TargetEvent[]> {
  const found = new Map<string, TargetEvent[]>();
  for (const event of events) {
    if (event.kind !== kind) continue;
    const list = found.get(event.requestId) ?? [];
    list.push(event);
    found.set(event.requestId, list);
  }
  return found;
}

/** Describes a request in a violation. */
export function labelOf({id, kind, gateway, end}: SentRequest): string {
  const ending = end.kind === 'answered' ? String(end.status) : end.kind;
  return `${id} (${kind} at ${gateway}, ended ${ending})`;
}
