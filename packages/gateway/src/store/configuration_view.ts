/** The configuration in force. An older version never replaces a newer one. */
import type {GatewayConfiguration} from '../gateway_types';
import type {ObjectChanges, ObjectList, SourceObject, StoreEra} from './object_source';
import {findWorkspaceProblems, WorkspaceDirectory} from '../workspaces';
import {RouteTable} from '../requests/route_table';

/** Result of receiving a configuration, as written to the log. */
export type ConfigurationEvent = 'applied' | 'older-ignored' | 'unreadable' | 'rejected';

/** Called when a configuration is received. */
export type ConfigurationListener = (
  event: ConfigurationEvent,
  version: number,
  problems?: readonly string[],
) => void;

/** A version of the configuration in an era of the store. */
export interface ConfigurationVersion {
  readonly version: number;
  readonly era: StoreEra;
}

interface StoredVersion extends ConfigurationVersion {
  /** Whether the configuration in force allows no key that this version does not. */
  readonly isAccountedFor: boolean;
}

/** Holds the newest configuration. */
export class ConfigurationView {
  private routeTable: RouteTable | undefined;
  private directory = new WorkspaceDirectory([]);
  private newestStored: StoredVersion | undefined;

  /** @param objectName Name of the object that holds the configuration. */
  constructor(
    private readonly objectName: string,
    private readonly listener: ConfigurationListener = () => undefined,
  ) {}

  /** Routes in force; undefined until the first configuration has arrived. */
  get routes(): RouteTable | undefined {
    return this.routeTable;
  }

  /** Workspaces of the configuration in force. */
  get workspaces(): WorkspaceDirectory {
    return this.directory;
  }

  get version(): number {
    return this.routeTable?.configuration.version ?? 0;
  }

  /**
   * The newest version that was read from the store in its latest known era. Undefined if the configuration in force allows
   * keys that this version does not, which can happen after the store came back from an older copy.
   */
  get accountedVersion(): ConfigurationVersion | undefined {
    return this.newestStored?.isAccountedFor === true ? this.newestStored : undefined;
  }

  /** Applies a complete list. */
  replace({objects, era}: ObjectList<GatewayConfiguration>): void {
    for (const object of objects) this.put(object, era);
  }

  /** Applies changes. A deleted configuration stays in force, because there is none to replace it. */
  apply({changes, era}: ObjectChanges<GatewayConfiguration>): void {
    for (const {object, deleted} of changes) {
      if (!deleted) this.put(object, era);
    }
  }

  private put({name, content}: SourceObject<GatewayConfiguration>, era: StoreEra): void {
    if (name !== this.objectName) return;
    if (content === undefined) {
      this.listener('unreadable', this.version);
      return;
    }
    const isLater = content.version > this.version;
    this.adopt(content);
    this.recordStored(content, era, isLater);
  }

  /**
   * Records that the store contains a version. Answers of the store may be processed out of order, so an older version of the
   * same era says nothing new.
   * @param isLater Whether the version is later than the one that was in force.
   */
  private recordStored(
    {version, workspaces}: GatewayConfiguration,
    era: StoreEra,
    isLater: boolean,
  ): void {
    const {newestStored} = this;
    const isSameEra = newestStored !== undefined && newestStored.era === era;
    if (isSameEra && version <= newestStored.version) return;
    // Within an era, a later version is in force by now, or was rejected and leaves the previous one in force.
    const isFollowed = isSameEra && newestStored.isAccountedFor && isLater;
    const isAccountedFor =
      isFollowed || new WorkspaceDirectory(workspaces).containsKeysOf(this.directory);
    this.newestStored = {version, era, isAccountedFor};
  }

  private adopt(content: GatewayConfiguration): void {
    if (this.routeTable !== undefined && content.version <= this.version) {
      if (content.version < this.version) this.listener('older-ignored', content.version);
      return;
    }
    const problems = findWorkspaceProblems(content.workspaces);
    if (problems.length > 0) {
      this.listener('rejected', content.version, problems);
      return;
    }
    this.routeTable = new RouteTable(content);
    this.directory = new WorkspaceDirectory(content.workspaces);
    this.listener('applied', content.version);
  }
}
