import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {CatalogSchema, decodeOrThrow} from '@cuminsill/validation';
import {deploymentNames, makeDeployment} from '../src/example_deployments';
import {exampleFiles} from '../src/example_files';

const examples = join(__dirname, '../../../examples');

describe.each(deploymentNames)('deployment %s', name => {
  const {catalog, instances, operatorPorts} = makeDeployment(name);

  // Guards against examples of another size than the design page states.
  it('has the size that the design page states', () => {
    decodeOrThrow(name, CatalogSchema, catalog);
    expect(catalog.regions).toHaveLength(3);
    expect(catalog.failureDomains).toHaveLength(6);
    expect(catalog.services).toHaveLength(4);
    expect(instances).toHaveLength(10);
    expect(catalog.targets.length).toBeGreaterThanOrEqual(48);
    expect(catalog.targets.length).toBeLessThanOrEqual(50);
  });

  it('assigns every port only once', () => {
    const ports = [
      ...catalog.targets.map(target => target.address.port),
      ...instances.flatMap(instance => [
        instance.callerAddress.port,
        instance.entryPeerAddress.port,
        instance.controlPeerAddress.port,
      ]),
      ...operatorPorts,
    ];
    expect(new Set(ports).size).toBe(ports.length);
  });

  it.each(exampleFiles(name))('matches examples file $name', ({name: file, text}) => {
    const committedContent: unknown = JSON.parse(readFileSync(join(examples, name, file), 'utf8'));
    expect(committedContent).toEqual(JSON.parse(text));
  });
});
