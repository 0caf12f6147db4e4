/** State of the users' store: objects by kind and name, their revisions, and the history of changes. */

/** An object in the store's wire format. */
export interface StoredObject {
  readonly metadata: {
    readonly name: string;
    readonly revision: number;
    readonly createRev: number;
    readonly finalizers: readonly string[];
    readonly deleting: boolean;
  };
  readonly spec: unknown;
  readonly status: unknown;
}

/** A change of an object. */
export interface ObjectEvent {
  readonly revision: number;
  readonly kind: string;
  readonly object: StoredObject;
  readonly deleted: boolean;
  /** When the store acknowledged it, on the monotonic clock in milliseconds. */
  readonly acknowledgedAtMs: number;
}

/** Result of a write as an HTTP status, with the object as it is now. */
export interface WriteResult {
  readonly status: 200 | 404 | 409;
  readonly object: StoredObject | undefined;
}

/** The parts of an object that a write replaces. */
export interface ObjectChange {
  readonly spec?: unknown;
  readonly status?: unknown;
  readonly finalizers?: readonly string[];
}

/** The table at one moment, from which it can be restored. */
export interface TableCopy {
  readonly kinds: ReadonlyMap<string, ReadonlyMap<string, StoredObject>>;
  readonly events: readonly ObjectEvent[];
  readonly firstKeptRevision: number;
  readonly revision: number;
}

/** In-memory table of all objects. */
export class ObjectTable {
  private kinds = new Map<string, Map<string, StoredObject>>();
  private events: ObjectEvent[] = [];
  private firstKeptRevision = 1;
  private currentRevision = 1;
  private readonly listeners = new Set<() => void>();

  get revision(): number {
    return this.currentRevision;
  }

  /** Objects of a kind, sorted by name. */
  list(kind: string): readonly StoredObject[] {
    const names = [...(this.kinds.get(kind)?.keys() ?? [])].sort();
    return names.flatMap(name => this.get(kind, name) ?? []);
  }

  get(kind: string, name: string): StoredObject | undefined {
    return this.kinds.get(kind)?.get(name);
  }

  /** Creates an object. Status 409 when it exists already. */
  create(kind: string, name: string, change: ObjectChange): WriteResult {
    const existing = this.get(kind, name);
    if (existing !== undefined) return {status: 409, object: existing};
    const createRev = this.currentRevision + 1;
    const metadata = {name, revision: createRev, createRev, finalizers: [], deleting: false};
    return this.storeObject(kind, {metadata, spec: undefined, status: null}, change, true);
  }

  /** Replaces parts of an object. Status 409 when a revision is given and is not the object's. */
  replace(kind: string, name: string, change: ObjectChange, revision?: number): WriteResult {
    const existing = this.get(kind, name);
    if (existing === undefined) return {status: 404, object: undefined};
    if (revision !== undefined && revision !== existing.metadata.revision) {
      return {status: 409, object: existing};
    }
    return this.storeObject(kind, existing, change, false);
  }

  /** Removes an object, or marks it as being deleted while it has finalizers. */
  remove(kind: string, name: string, revision?: number): WriteResult {
    const existing = this.get(kind, name);
    if (existing === undefined) return {status: 404, object: undefined};
    if (revision !== undefined && revision !== existing.metadata.revision) {
      return {status: 409, object: existing};
    }
    if (existing.metadata.finalizers.length > 0) {
      const marked = {...existing, metadata: {...existing.metadata, deleting: true}};
      return this.storeObject(kind, marked, {}, true);
    }
    this.kinds.get(kind)?.delete(name);
    this.currentRevision += 1;
    this.recordEvent(kind, existing, true);
    return {status: 200, object: existing};
  }

  copy(): TableCopy {
    const {events, firstKeptRevision, currentRevision: revision} = this;
    const kinds = new Map([...this.kinds].map(([kind, objects]) => [kind, new Map(objects)]));
    return {kinds, events: [...events], firstKeptRevision, revision};
  }

  /** Goes back to a copy: later writes are gone, and their revisions are given out again. */
  restore({kinds, events, firstKeptRevision, revision}: TableCopy): void {
    this.kinds = new Map([...kinds].map(([kind, objects]) => [kind, new Map(objects)]));
    this.events = [...events];
    this.firstKeptRevision = firstKeptRevision;
    this.currentRevision = revision;
  }

  /** Changes of a kind after a revision; undefined when the history does not have that revision. */
  changesAfter(kind: string, revision: number): readonly ObjectEvent[] | undefined {
    if (revision + 1 < this.firstKeptRevision || revision > this.currentRevision) return undefined;
    return this.events.filter(event => event.kind === kind && event.revision > revision);
  }

  /** The latest revision that was acknowledged by a time; `revision` if the history does not go back that far. */
  revisionAt(timeMs: number): number {
    const later = this.events.find(({acknowledgedAtMs}) => acknowledgedAtMs > timeMs);
    return later === undefined ? this.currentRevision : later.revision - 1;
  }

  /** Drops the history, so that watches from an older revision fail. */
  dropHistory(): void {
    this.events = [];
    this.firstKeptRevision = this.currentRevision + 1;
    this.notifyListeners();
  }

  /** Calls the listener after each change. Returns a function that unsubscribes it. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private storeObject(
    kind: string,
    existing: StoredObject,
    change: ObjectChange,
    storesUnchanged: boolean,
  ): WriteResult {
    const {finalizers, ...content} = change;
    const metadata = {...existing.metadata, ...(finalizers === undefined ? {} : {finalizers})};
    const next = {...existing, ...content, metadata};
    if (!storesUnchanged && JSON.stringify(next) === JSON.stringify(existing)) {
      return {status: 200, object: existing};
    }
    this.currentRevision += 1;
    const object = {...next, metadata: {...metadata, revision: this.currentRevision}};
    const objects = this.kinds.get(kind) ?? new Map<string, StoredObject>();
    this.kinds.set(kind, objects);
    objects.set(object.metadata.name, object);
    this.recordEvent(kind, object, false);
    return {status: 200, object};
  }

  private recordEvent(kind: string, object: StoredObject, deleted: boolean): void {
    const acknowledgedAtMs = performance.now();
    this.events.push({revision: this.currentRevision, kind, object, deleted, acknowledgedAtMs});
    this.notifyListeners();
  }

  private notifyListeners(): void {
    for (const listener of [...this.listeners]) listener();
  }
}
