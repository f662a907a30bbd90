import * as v from "valibot";
import * as backend from "../backend/mod.ts";
import * as configuration from "../configuration/mod.ts";
import * as quantity from "../quantity/mod.ts";

const LISTED_ITEMS = 20_000;

const BYTES_HINT = 'is not a size; write bytes or a text such as "8 GB"';
const DURATION_HINT = 'is not a duration; write a text such as "2s" or "6h"';

const Bytes = v.pipe(
  v.union([v.number(), v.string()], BYTES_HINT),
  v.rawTransform(({ dataset, addIssue, NEVER }) => {
    const { value } = dataset;
    const bytes = typeof value === "number"
      ? value
      : quantity.parseBytes(value);
    if (v.is(backend.Bytes, bytes)) return bytes;
    addIssue({ message: BYTES_HINT });
    return NEVER;
  }),
);

const Duration = v.pipe(
  v.string(DURATION_HINT),
  v.rawTransform(({ dataset, addIssue, NEVER }) => {
    const milliseconds = quantity.parseDurationMs(dataset.value);
    if (v.is(configuration.Tier.entries.maxWaitMs, milliseconds)) {
      return milliseconds;
    }
    addIssue({ message: DURATION_HINT });
    return NEVER;
  }),
);

function list<S extends v.GenericSchema<unknown, unknown>>(schema: S) {
  return v.pipe(v.array(schema), v.maxLength(LISTED_ITEMS));
}

const Workspace = v.strictObject(configuration.Workspace.entries);

const Adapter = v.strictObject({
  ...configuration.Adapter.entries,
  bytes: Bytes,
});

const Model = v.strictObject({
  ...configuration.Model.entries,
  bytes: Bytes,
  kvBytes: v.optional(Bytes, 0),
  adapters: v.optional(list(Adapter), []),
});

const Route = v.strictObject(configuration.Route.entries);

const Tier = v.pipe(
  v.strictObject({
    name: backend.Name,
    maxWait: Duration,
    priceFactor: configuration.Tier.entries.priceFactor,
    delivery: v.optional(configuration.Tier.entries.delivery, "connected"),
  }),
  v.transform(({ maxWait, ...tier }) => ({ ...tier, maxWaitMs: maxWait })),
);

const Head = v.strictObject({
  name: backend.Name,
  kind: configuration.Service.entries.kind,
  workspaces: list(backend.Name),
});

/** One `ebonypath.toml`: a service, workspaces, or both. */
export const ServiceFile = v.strictObject({
  service: v.optional(Head),
  models: v.optional(list(Model), []),
  routes: v.optional(list(Route), []),
  tiers: v.optional(list(Tier), []),
  workspaces: v.optional(list(Workspace), []),
});
export type ServiceFile = v.InferOutput<typeof ServiceFile>;
