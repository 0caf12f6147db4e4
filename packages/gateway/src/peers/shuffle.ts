/** Random order, for choices that should differ between gateways. */

/** Returns a number from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number;

/** Returns up to `count` different elements in random order. */
export function sample<Element>(
  elements: readonly Element[],
  count: number,
  random: Random,
): readonly Element[] {
  const pool = [...elements];
  const sampleSize = Math.min(count, pool.length);
  for (let index = 0; index < sampleSize; index += 1) {
    const other = index + Math.floor(random() * (pool.length - index));
    [pool[index], pool[other]] = [pool[other] as Element, pool[index] as Element];
  }
  return pool.slice(0, sampleSize);
}

/** Returns all elements in random order. */
export function shuffle<Element>(elements: readonly Element[], random: Random): readonly Element[] {
  return sample(elements, elements.length, random);
}
