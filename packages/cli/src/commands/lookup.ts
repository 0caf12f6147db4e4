/** `cuminsill lookup <service>`: asks an entry process which instances callers should use. */
import type {Command} from 'commander';
import type {CommandRegistration} from '../command_context';
import {printAnswer} from '../command_context';
import type {GlobalOptions} from '../global_options';
import {makeCallerClient} from '../global_options';
import {formatTable} from '../table';

interface LookupAnswer {
  readonly instances: ReadonlyArray<{
    readonly instanceId: string;
    readonly host: string;
    readonly port: number;
  }>;
  readonly maxAgeS: number;
}

/** Adds `lookup`. */
export const registerLookup: CommandRegistration = (parent, io) => {
  parent
    .command('lookup <service>')
    .description("Asks which instances callers should use; --server is an entry's callers' port.")
    .action(async (serviceId: string, _options: object, command: Command) => {
      const options = command.optsWithGlobals<GlobalOptions>();
      const client = makeCallerClient(options);
      const path = `/v1/lookup?service=${encodeURIComponent(serviceId)}`;
      const answer = await client.request<LookupAnswer>({method: 'GET', path});
      printAnswer({io, output: options.output}, answer, () => {
        const rows = answer.instances.map(entry => [entry.instanceId, entry.host, entry.port]);
        const table = formatTable(['INSTANCE', 'HOST', 'PORT'], rows);
        return `${table}\nvalid for ${answer.maxAgeS} s\n`;
      });
    });
};
