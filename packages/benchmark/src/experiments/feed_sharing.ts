import { fakeBackend } from "@ebonypath/testing";
import type { control } from "@ebonypath/protocol";
import { control as names } from "@ebonypath/protocol";
import * as measure from "../measure/mod.ts";
import type * as types from "../types.ts";

/** A region of the target. */
const ENTRIES = 180;
const RELAYS = 18;
const SERVERS = 2_000;
const MODELS = 110;
/** Services; each of them has some models, and servers of its own. */
const SERVICES = 24;
/** Services that an entry serves; popular ones are on most entries. */
const SERVICES_AN_ENTRY = 6;
/** Messages collected into one, in milliseconds. */
const BATCH_MS = 50;
const DURATION_MS = 5_000;

/** Bytes of a region's feed with and without merged interests. */
export const feedSharing: types.Experiment = {
  name: "feed-sharing",
  summary: "bytes of the feed with merged interests, by a simulation",
  run,
};

interface Totals {
  /** The leader sends each entry all changes. */
  everything: number;
  /** The leader sends each entry the changes that it wants. */
  filtered: number;
  /** The leader sends each relay what any of its entries wants. */
  union: number;
  /** As before, with servers wanted by the same entries in one message. */
  merged: number;
}

function run(options: types.RunOptions): Promise<types.Outcome> {
  const random = fakeBackend.seededRandom(options.seed);
  const interests = interestsOf(random);
  const services = Array.from(
    { length: SERVERS },
    () => measure.choose(measure.zipf(SERVICES), random),
  );
  const totals: Totals = { everything: 0, filtered: 0, union: 0, merged: 0 };
  for (let time = 0; time < DURATION_MS; time += BATCH_MS) {
    const changed = services.flatMap((service, server) =>
      random() < BATCH_MS / 1_000 ? [{ server, service }] : []
    );
    addBatch(totals, changed, interests);
  }
  const columns = Array.from(
    { length: SERVICES },
    (_, service) =>
      interests.map((wanted) => wanted.has(service) ? 1 : 0).join(""),
  );
  const perSecond = (bytes: number) => 1_000 * bytes / DURATION_MS;
  return Promise.resolve({
    figures: {
      entries: ENTRIES,
      servers: SERVERS,
      models: MODELS,
      distinctInterests: new Set(columns).size,
      services: SERVICES,
      everythingBytesPerSecond: perSecond(totals.everything),
      filteredBytesPerSecond: perSecond(totals.filtered),
      unionBytesPerSecond: perSecond(totals.union),
      mergedBytesPerSecond: perSecond(totals.merged),
      filteredBytesPerSecondAnEntry: perSecond(totals.filtered) / ENTRIES,
      mergedSavesOfUnion: 1 - totals.merged / totals.union,
    },
    charts: [{
      title: "Bytes a second that a leader sends",
      kind: "bar",
      x: "way",
      y: "bytes/s",
      isLogarithmic: true,
      series: [{
        name: "leader",
        points: Object.entries(totals)
          .map(([name, bytes]) => [name, perSecond(bytes)] as const),
      }],
    }],
  });
}

/** Services that each entry serves, more often the popular ones. */
function interestsOf(random: measure.Random): ReadonlySet<number>[] {
  return Array.from({ length: ENTRIES }, () => {
    const wanted = new Set<number>();
    while (wanted.size < SERVICES_AN_ENTRY) {
      wanted.add(measure.choose(measure.zipf(SERVICES), random));
    }
    return wanted;
  });
}

interface Change {
  readonly server: number;
  readonly service: number;
}

function addBatch(
  totals: Totals,
  changed: readonly Change[],
  interests: readonly ReadonlySet<number>[],
): void {
  totals.everything += ENTRIES * bytesOf(changed);
  for (const wanted of interests) {
    totals.filtered += bytesOf(only(changed, wanted));
  }
  for (let relay = 0; relay < RELAYS; relay += 1) {
    const children = interests.filter((_, index) => index % RELAYS === relay);
    const wanted = new Set(children.flatMap((one) => [...one]));
    const sent = only(changed, wanted);
    // Without merging, each service is a stream of its own.
    for (const service of wanted) {
      totals.union += bytesOf(sent.filter((one) => one.service === service));
    }
    totals.merged += mergedBytes(sent, children);
  }
}

/** One message for all services that the same children want. */
function mergedBytes(
  sent: readonly Change[],
  children: readonly ReadonlySet<number>[],
): number {
  const fragments = new Map<string, Change[]>();
  for (const change of sent) {
    const key = children
      .map((wanted) => wanted.has(change.service) ? 1 : 0).join("");
    const fragment = fragments.get(key);
    if (fragment === undefined) fragments.set(key, [change]);
    else fragment.push(change);
  }
  return [...fragments.values()]
    .reduce((sum, fragment) => sum + bytesOf(fragment), 0);
}

function only(
  changed: readonly Change[],
  wanted: ReadonlySet<number>,
): Change[] {
  return changed.filter(({ service }) => wanted.has(service));
}

/** Bytes of a message of the feed with these changes; none for none. */
function bytesOf(changed: readonly Change[]): number {
  if (changed.length === 0) return 0;
  return ENVELOPE_BYTES + changed.length * STATUS_BYTES;
}

const STATUS: control.ServerStatus = {
  id: "server-1000",
  incarnation: "i0123456789ab",
  address: "http://10.100.100.100:9000",
  failureDomain: "fd-1",
  kind: "engine",
  services: ["service-10"],
  ready: ["service-10/model-1", "service-10/model-2:adapter-100"],
  limit: 16,
  queued: 0,
  usable: true,
};

const STATUS_BYTES = JSON.stringify(STATUS).length + 1;

const ENVELOPE_BYTES = JSON.stringify({
  jsonrpc: "2.0",
  method: names.FEED_METHOD,
  params: { kind: "servers", changed: [], removed: [] },
}).length;
