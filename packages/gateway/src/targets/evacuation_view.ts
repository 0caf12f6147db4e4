/** Failure domains that operators have evacuated: their targets get no requests. */
import type {ObjectChanges, ObjectList} from '../store/object_source';

/** Called when the evacuation of a failure domain begins or ends. */
export type EvacuationListener = (failureDomain: string, evacuated: boolean) => void;

/** The evacuated failure domains. Each stored object names one; its content is not used. */
export class EvacuationView {
  private domains: ReadonlySet<string> = new Set();

  constructor(private readonly listener: EvacuationListener = () => undefined) {}

  get evacuatedDomains(): ReadonlySet<string> {
    return this.domains;
  }

  /** Replaces the evacuated domains. */
  replace(list: ObjectList<unknown>): void {
    this.set(new Set(list.objects.map(({name}) => name)));
  }

  /** Applies changes. */
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
