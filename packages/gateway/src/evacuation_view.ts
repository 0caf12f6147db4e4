/** Failure domains whose targets get nothing, as operators asked. */
import type {ObjectChanges, ObjectList} from './object_source';

/** Receives changes of the evacuated failure domains. */
export type EvacuationListener = (failureDomain: string, evacuated: boolean) => void;

/** Knows the evacuated failure domains. An object counts by its name; its content holds nothing. */
export class EvacuationView {
  private domains: ReadonlySet<string> = new Set();

  constructor(private readonly listener: EvacuationListener = () => undefined) {}

  get evacuatedDomains(): ReadonlySet<string> {
    return this.domains;
  }

  /** Takes over a complete list. */
  replace(list: ObjectList<unknown>): void {
    this.set(new Set(list.objects.map(({name}) => name)));
  }

  /** Takes over changes. */
  apply({changes}: ObjectChanges<unknown>): void {
    const domains = new Set(this.domains);
    for (const {object, deleted} of changes) {
      if (deleted) domains.delete(object.name);
      else domains.add(object.name);
    }
    this.set(domains);
  }

  private set(domains: ReadonlySet<string>): void {
    const before = this.domains;
    this.domains = domains;
    for (const domain of domains) if (!before.has(domain)) this.listener(domain, true);
    for (const domain of before) if (!domains.has(domain)) this.listener(domain, false);
  }
}
