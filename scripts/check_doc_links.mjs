/** Checks that every relative link in the Markdown pages points to an existing file. */
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import {dirname, join, resolve} from 'node:path';

const root = resolve(import.meta.dirname ?? dirname(new URL(import.meta.url).pathname), '..');

function markdownFiles(folder) {
  return readdirSync(folder, {withFileTypes: true}).flatMap(entry => {
    if (['node_modules', 'dist', '.git'].includes(entry.name)) return [];
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return markdownFiles(path);
    return entry.name.endsWith('.md') ? [path] : [];
  });
}

function brokenLinks(file) {
  const text = readFileSync(file, 'utf8');
  const links = [...text.matchAll(/\]\(([^)\s]+)\)/g)].map(match => match[1]);
  return links
    .filter(link => !/^(https?:|mailto:|#)/.test(link))
    .map(link => link.split('#')[0])
    .filter(link => !existsSync(resolve(dirname(file), link)));
}

let brokenCount = 0;
for (const file of markdownFiles(root)) {
  for (const link of brokenLinks(file)) {
    console.error(`${file.slice(root.length + 1)}: link to ${link}, which does not exist`);
    brokenCount += 1;
  }
}
if (brokenCount > 0) process.exit(1);
console.log('doc links: all present');
