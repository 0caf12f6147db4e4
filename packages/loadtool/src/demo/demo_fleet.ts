/** The processes of one example deployment: stand-ins, and an entry and a control process per instance. */
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {exampleFiles, makeDeployment} from '@cuminsill/standins';
import type {Deployment, DeploymentName, TargetMode, TargetStatistics} from '@cuminsill/standins';
import type {SocketAddress} from '@cuminsill/types';
import {ManagedProcess} from '../managed_process';
import {prepareDaemonCommands} from '../daemon_settings';
import {OperatorClient} from '../operator_client';

const host = '127.0.0.1';
const operatorToken = 'demo-operator-token';
const peerKey = 'demo-shared-key-0123456789abcdef';

/** The running processes of a deployment. */
export class DemoFleet {
  private constructor(
    readonly deployment: Deployment,
    private readonly standins: ManagedProcess,
    readonly controls: readonly ManagedProcess[],
    readonly entries: readonly ManagedProcess[],
  ) {}

  /** Writes all settings into the directory and starts all processes. */
  static async start(name: DeploymentName, directory: string): Promise<DemoFleet> {
    const deployment = makeDeployment(name);
    for (const file of exampleFiles(name)) writeFileSync(join(directory, file.name), file.text);
    const standins = await ManagedProcess.start({
      name: `stand-ins of ${name}`,
      file: join(__dirname, '../../../standins/dist/bin/standins.js'),
      args: ['--settings', join(directory, 'standins.json')],
    });
    const commands = deployment.instances.map(instance =>
      prepareDaemonCommands(directory, {
        instance,
        deployment,
        environment: {
          store: standins.readyMessage['store'] as SocketAddress,
          instanceList: standins.readyMessage['instanceList'] as SocketAddress,
          operatorToken,
          peerKey,
        },
      }),
    );
    const startedProcesses: ManagedProcess[] = [standins];
    const startAll = (processCommands: readonly Parameters<typeof ManagedProcess.start>[0][]) =>
      Promise.all(
        processCommands.map(async command => {
          const child = await ManagedProcess.start(command);
          startedProcesses.push(child);
          return child;
        }),
      );
    try {
      const controls = await startAll(commands.map(command => command.control));
      const entries = await startAll(commands.map(command => command.entry));
      return new DemoFleet(deployment, standins, controls, entries);
    } catch (error) {
      await Promise.all(startedProcesses.map(child => child.stop()));
      throw error;
    }
  }

  /** Returns a client of the operators' API of one instance. */
  operatorClient(instanceIndex: number): OperatorClient {
    const port = this.deployment.operatorPorts[instanceIndex] ?? 0;
    return new OperatorClient({host, port}, operatorToken);
  }

  /** Changes the behaviour of one stand-in target. */
  async setTargetMode(targetId: string, mode: Partial<TargetMode>): Promise<void> {
    const response = await fetch(this.targetControlUrl(`/targets/${targetId}/mode`), {
      method: 'POST',
      body: JSON.stringify(mode),
    });
    if (!response.ok) throw new Error(`target ${targetId} did not change its mode`);
  }

  /** Fetches what all stand-in targets have recorded about their requests. */
  async fetchTargetRecords(): Promise<readonly TargetStatistics[]> {
    const response = await fetch(this.targetControlUrl('/targets'));
    return (await response.json()) as readonly TargetStatistics[];
  }

  /** Stops all processes. */
  async stop(): Promise<void> {
    await Promise.all(this.entries.map(child => child.stop()));
    await Promise.all(this.controls.map(child => child.stop()));
    await this.standins.stop();
  }

  private targetControlUrl(path: string): string {
    const address = this.standins.readyMessage['targetControl'] as SocketAddress;
    return `http://${address.host}:${address.port}${path}`;
  }
}
