/**
 * Maps the address of a caller to its region: longest-prefix match over the client blocks of the catalog. IPv4 blocks
 * are grouped by prefix length, so a query takes at most one map access per prefix length in use, whatever the number
 * of blocks.
 */
import {isIPv4} from 'node:net';
import type {ClientBlock} from '@cuminsill/types';

/** The client blocks with one prefix length. */
interface PrefixLength {
  readonly bits: number;
  readonly mask: number;
  /** Index into `regionIds` by network address. */
  readonly regionIndexByNetwork: Map<number, number>;
}

/** Client blocks of the catalog, indexed by prefix. */
export class ClientBlockTable {
  private readonly prefixLengths: readonly PrefixLength[];
  private readonly regionIds: string[] = [];

  /** Ignores blocks that are not valid IPv4 prefixes; the region of their callers is unknown. */
  constructor(blocks: readonly ClientBlock[]) {
    const prefixLengthByBits = new Map<number, PrefixLength>();
    const indexByRegionId = new Map<string, number>();
    for (const block of blocks) {
      const prefix = parsePrefix(block.prefix);
      if (prefix === undefined) continue;
      const prefixLength = prefixLengthByBits.get(prefix.bits) ?? newPrefixLength(prefix.bits);
      prefixLengthByBits.set(prefix.bits, prefixLength);
      const regionIndex =
        indexByRegionId.get(block.regionId) ?? this.regionIds.push(block.regionId) - 1;
      indexByRegionId.set(block.regionId, regionIndex);
      prefixLength.regionIndexByNetwork.set(
        (prefix.address & prefixLength.mask) >>> 0,
        regionIndex,
      );
    }
    this.prefixLengths = [...prefixLengthByBits.values()].sort((a, b) => b.bits - a.bits);
  }

  /** Region of the most specific block that contains the address; undefined when no block does. */
  regionOf(address: string): string | undefined {
    const value = parseAddress(address);
    if (value === undefined) return undefined;
    for (const prefixLength of this.prefixLengths) {
      const index = prefixLength.regionIndexByNetwork.get((value & prefixLength.mask) >>> 0);
      if (index !== undefined) return this.regionIds[index];
    }
    return undefined;
  }
}

function newPrefixLength(bits: number): PrefixLength {
  const mask = bits === 0 ? 0 : (0xffffffff << (32 - bits)) >>> 0;
  return {bits, mask, regionIndexByNetwork: new Map()};
}

function parsePrefix(
  prefix: string,
): {readonly address: number; readonly bits: number} | undefined {
  const [host, bitsText] = prefix.split('/');
  const bits = Number(bitsText ?? '32');
  const address = parseAddress(host ?? '');
  if (address === undefined || !Number.isInteger(bits) || bits < 0 || bits > 32) return undefined;
  return {address, bits};
}

const mappedPrefix = '::ffff:';

function parseAddress(address: string): number | undefined {
  const text = address.startsWith(mappedPrefix) ? address.slice(mappedPrefix.length) : address;
  if (!isIPv4(text)) return undefined;
  let value = 0;
  for (const part of text.split('.')) value = (value << 8) | Number(part);
  return value >>> 0;
}
