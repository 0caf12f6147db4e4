/**
 * Applies records of the configuration log. The result depends only on the records, so all instances that
 * have read the log up to the same position hold the same configuration.
 */
import type {
  Configuration,
  ConfigurationChange,
  ConfigurationChangeBody,
  ConfirmedIntent,
  PutCatalogChange,
  PutIntentChange,
  RemoveIntentChange,
} from '@cuminsill/types';

/** Thrown when a change does not lead to the version that follows the configuration's version. */
export class ConfigurationVersionError extends Error {
  override readonly name = 'ConfigurationVersionError';

  /**
   * @param currentVersion Version of the configuration.
   * @param changeVersion Version that the change leads to.
   */
  constructor(
    readonly currentVersion: number,
    readonly changeVersion: number,
  ) {
    super(
      `change to version ${changeVersion} cannot be applied to configuration version ${currentVersion}; ` +
        `apply version ${currentVersion + 1} next`,
    );
  }
}

type ChangeHandler<Body extends ConfigurationChangeBody> = (
  configuration: Configuration,
  change: ConfigurationChange,
  body: Body,
) => Configuration;

type ChangeHandlers = {
  readonly [Kind in ConfigurationChangeBody['kind']]: ChangeHandler<
    Extract<ConfigurationChangeBody, {kind: Kind}>
  >;
};

const changeHandlers: ChangeHandlers = {
  'put-catalog': putCatalog,
  'put-intent': putIntent,
  'remove-intent': removeIntent,
};

/**
 * Returns the configuration after one change, without modifying its arguments. Intents are ordered by the version
 * that put them into force. Removing an intent that is not in force only increments the version.
 * @throws ConfigurationVersionError unless the change leads to exactly the next version.
 */
export function applyChange(
  configuration: Configuration,
  change: ConfigurationChange,
): Configuration {
  if (change.version !== configuration.version + 1) {
    throw new ConfigurationVersionError(configuration.version, change.version);
  }
  const handler = changeHandlers[change.body.kind] as ChangeHandler<ConfigurationChangeBody>;
  return {...handler(configuration, change, change.body), version: change.version};
}

function putCatalog(
  configuration: Configuration,
  _change: ConfigurationChange,
  body: PutCatalogChange,
): Configuration {
  return {...configuration, catalog: body.catalog};
}

function putIntent(
  configuration: Configuration,
  change: ConfigurationChange,
  body: PutIntentChange,
): Configuration {
  const confirmed: ConfirmedIntent = {
    intent: body.intent,
    version: change.version,
    confirmedBy: change.author,
    confirmedAtMs: change.acceptedAtMs,
    previousShares: body.previousShares,
  };
  const others = configuration.intents.filter(entry => entry.intent.id !== body.intent.id);
  return {...configuration, intents: [...others, confirmed]};
}

function removeIntent(
  configuration: Configuration,
  _change: ConfigurationChange,
  body: RemoveIntentChange,
): Configuration {
  return {
    ...configuration,
    intents: configuration.intents.filter(entry => entry.intent.id !== body.intentId),
  };
}
