/**
 * Rendezvous hashing: a stable order of servers for each key, in which a server
 * that comes or goes moves only its own keys.
 *
 * @module
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Orders `items` by their rank for `key`, highest first. */
export function rank<Item>(
  key: string,
  items: readonly Item[],
  nameOf: (item: Item) => string,
): Item[] {
  return items
    .map((item) => ({ item, weight: hash(`${key}\0${nameOf(item)}`) }))
    .sort((a, b) => b.weight - a.weight)
    .map(({ item }) => item);
}

/** FNV-1a with the finalizer of MurmurHash3, for well mixed high bits. */
function hash(text: string): number {
  let value = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    value = Math.imul(value ^ text.charCodeAt(i), FNV_PRIME);
  }
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
  return (value ^ (value >>> 16)) >>> 0;
}
