import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';

const root = join(__dirname, '../../..');
const kindByMethod: Readonly<Record<string, string>> = {
  count: 'counter',
  gauge: 'gauge',
  histogram: 'histogram',
};

/** The package that defines the metric calls; it names no metric itself. */
const definingPackage = 'logger';

function sourceFiles(directory: string): readonly string[] {
  return readdirSync(directory, {withFileTypes: true}).flatMap(entry => {
    const path = join(directory, entry.name);
    if (entry.isDirectory()) return sourceFiles(path);
    return entry.name.endsWith('.ts') ? [path] : [];
  });
}

const sourceTexts = readdirSync(join(root, 'packages'))
  .filter(name => name !== definingPackage)
  .flatMap(name => sourceFiles(join(root, 'packages', name, 'src')))
  .map(file => readFileSync(file, 'utf8'));

function sortedUnique(names: readonly string[]): readonly string[] {
  return [...new Set(names)].sort();
}

function metricsInSources(): readonly string[] {
  const calls = sourceTexts.flatMap(text => [
    ...text.matchAll(/\bmetrics\.(count|gauge|histogram)\(\s*'([^']+)'/g),
  ]);
  return sortedUnique(calls.map(([, call = '', name]) => `${name} ${kindByMethod[call]}`));
}

function metricsInPage(): readonly string[] {
  const page = readFileSync(join(root, 'docs/metrics.md'), 'utf8');
  const rows = page.matchAll(/^\| `([^`]+)` \| (counter|gauge|histogram) \|/gm);
  return sortedUnique([...rows].map(([, name, kind]) => `${name} ${kind}`));
}

describe('docs/metrics.md', () => {
  // Guards against a metric that is added, renamed or removed without updating the page.
  it('lists exactly the metrics in the source code', () => {
    expect(metricsInSources().length).toBeGreaterThan(10);
    expect(metricsInPage()).toEqual(metricsInSources());
  });

  // Guards against a metric that the comparison above misses because its name is not a literal.
  it('can rely on every metric name being a string literal', () => {
    const calls = sourceTexts.flatMap(text => [
      ...text.matchAll(/\b[Mm]etrics\??\.(?:count|gauge|histogram)\(\s*(.)/g),
    ]);
    expect(calls.filter(([, first]) => first !== "'").map(([call]) => call)).toEqual([]);
  });
});
