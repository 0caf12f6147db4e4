/** The version of the sources from which the running program was built. */

/** Filled in by the bundler. */
declare const GATEWAY_BUILD_VERSION: unknown;

/** The commit, with `-dirty` for changed sources; `unknown` for a program that is not bundled or was built outside of git. */
export const buildVersion: string =
  typeof GATEWAY_BUILD_VERSION === 'string' ? GATEWAY_BUILD_VERSION : 'unknown';
