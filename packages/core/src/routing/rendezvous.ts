/**
 * Rendezvous hashing: a stable ranking of servers for each key. Adding or
 * removing a server remaps only the keys that rank it first.
 *
 * @module
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Sorts `items` by their rendezvous score for `key`, highest first. */
export function rank<Item>(
  key: string,
  items: readonly Item[],
  nameOf: (item: Item) => string,
): Item[] {
  return items
    .map((item) => ({ item, score: hash(`${key}\0${nameOf(item)}`) }))
    .sort((a, b) => b.score - a.score)
    .map(({ item }) => item);
}

/** The item that `rank` puts first, without sorting the others. */
export function highest<Item>(
  key: string,
  items: readonly Item[],
  nameOf: (item: Item) => string,
): Item | undefined {
  let best: Item | undefined;
  let bestScore = -1;
  for (const item of items) {
    const score = hash(`${key}\0${nameOf(item)}`);
    if (score <= bestScore) continue;
    best = item;
    bestScore = score;
  }
  return best;
}

/** FNV-1a with the MurmurHash3 finalizer, which mixes the high bits well. */
function hash(text: string): number {
  let value = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    value = Math.imul(value ^ text.charCodeAt(i), FNV_PRIME);
  }
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
  return (value ^ (value >>> 16)) >>> 0;
}
