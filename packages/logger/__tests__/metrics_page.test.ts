import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';

const root = join(__dirname, '../../..');
const kinds: Readonly<Record<string, string>> = {
  count: 'counter',
  gauge: 'gauge',
  histogram: 'histogram',
};

/** The package that defines the calls; names are chosen by its users. */
const definingPackage = 'logger';

function sourceFiles(directory: string): readonly string[] {
  return readdirSync(directory, {withFileTypes: true}).flatMap(entry => {
    const path = join(directory, entry.name);
    if (entry.isDirectory()) return sourceFiles(path);
    return entry.name.endsWith('.ts') ? [path] : [];
  });
}

const sources = readdirSync(join(root, 'packages'))
  .filter(name => name !== definingPackage)
  .flatMap(name => sourceFiles(join(root, 'packages', name, 'src')))
  .map(file => readFileSync(file, 'utf8'));

function unique(names: readonly string[]): readonly string[] {
  return [...new Set(names)].sort();
}

function metricsInSources(): readonly string[] {
  const calls = sources.flatMap(text => [
    ...text.matchAll(/\bmetrics\.(count|gauge|histogram)\(\s*'([^']+)'/g),
  ]);
  return unique(calls.map(([, call = '', name]) => `${name} ${kinds[call]}`));
}

function metricsInPage(): readonly string[] {
  const page = readFileSync(join(root, 'docs/metrics.md'), 'utf8');
  const rows = page.matchAll(/^\| `([^`]+)` \| (counter|gauge|histogram) \|/gm);
  return unique([...rows].map(([, name, kind]) => `${name} ${kind}`));
}

describe('docs/metrics.md', () => {
  // Guards against a metric that is added, renamed or removed without the page.
  it('lists exactly the metrics of the sources', () => {
    expect(metricsInSources().length).toBeGreaterThan(10);
    expect(metricsInPage()).toEqual(metricsInSources());
  });

  // Guards against a name that the comparison above cannot see.
  it('finds the name of every metric, because each is a literal', () => {
    const calls = sources.flatMap(text => [
      ...text.matchAll(/\b[Mm]etrics\??\.(?:count|gauge|histogram)\(\s*(.)/g),
    ]);
    expect(calls.filter(([, first]) => first !== "'").map(([call]) => call)).toEqual([]);
  });
});
