/** The processes of one example deployment: stand-ins, and an entry and a control process per instance. */
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {exampleFiles, makeDeployment} from '@cuminsill/standins';
import type {Deployment, DeploymentName, TargetMode, TargetRecord} from '@cuminsill/standins';
import type {SocketAddress} from '@cuminsill/types';
import {RunningChild} from '../child_process';
import {writeDaemonSettings} from '../daemon_settings';
import {OperatorsClient} from '../operators_client';

const host = '127.0.0.1';
const operatorToken = 'demo-operator-token';
const peerKey = 'demo-shared-key-0123456789abcdef';

/** Processes of a deployment that are ready. */
export class DemoFleet {
  private constructor(
    readonly deployment: Deployment,
    private readonly standins: RunningChild,
    readonly controls: readonly RunningChild[],
    readonly entries: readonly RunningChild[],
  ) {}

  /** Writes all settings into the directory and starts all processes. */
  static async start(name: DeploymentName, directory: string): Promise<DemoFleet> {
    const deployment = makeDeployment(name);
    for (const file of exampleFiles(name)) writeFileSync(join(directory, file.name), file.text);
    const standins = await RunningChild.start({
      name: `stand-ins of ${name}`,
      file: join(__dirname, '../../../standins/dist/bin/standins.js'),
      args: ['--settings', join(directory, 'standins.json')],
    });
    const commands = deployment.instances.map(instance =>
      writeDaemonSettings(directory, {
        instance,
        deployment,
        surroundings: {
          store: standins.ready['store'] as SocketAddress,
          instanceList: standins.ready['instanceList'] as SocketAddress,
          operatorToken,
          peerKey,
        },
      }),
    );
    const started: RunningChild[] = [standins];
    const startAll = (list: readonly Parameters<typeof RunningChild.start>[0][]) =>
      Promise.all(
        list.map(async command => {
          const child = await RunningChild.start(command);
          started.push(child);
          return child;
        }),
      );
    try {
      const controls = await startAll(commands.map(command => command.control));
      const entries = await startAll(commands.map(command => command.entry));
      return new DemoFleet(deployment, standins, controls, entries);
    } catch (error) {
      await Promise.all(started.map(child => child.stop()));
      throw error;
    }
  }

  /** Client of the operators' API of one instance. */
  operators(instanceIndex: number): OperatorsClient {
    const port = this.deployment.operatorPorts[instanceIndex] ?? 0;
    return new OperatorsClient({host, port}, operatorToken);
  }

  /** Changes the behaviour of one target. */
  async setTargetMode(targetId: string, mode: Partial<TargetMode>): Promise<void> {
    const response = await fetch(this.targetUrl(`/targets/${targetId}/mode`), {
      method: 'POST',
      body: JSON.stringify(mode),
    });
    if (!response.ok) throw new Error(`target ${targetId} did not change its mode`);
  }

  /** What all targets have recorded. */
  async targetRecords(): Promise<readonly TargetRecord[]> {
    const response = await fetch(this.targetUrl('/targets'));
    return (await response.json()) as readonly TargetRecord[];
  }

  /** Stops all processes. */
  async stop(): Promise<void> {
    await Promise.all(this.entries.map(child => child.stop()));
    await Promise.all(this.controls.map(child => child.stop()));
    await this.standins.stop();
  }

  private targetUrl(path: string): string {
    const address = this.standins.ready['targetControl'] as SocketAddress;
    return `http://${address.host}:${address.port}${path}`;
  }
}
