import * as v from "valibot";
import * as backend from "../backend/mod.ts";
import * as configuration from "../configuration/mod.ts";
import * as quantity from "../quantity/mod.ts";

const MAX_ITEMS = 20_000;

const BYTES_MESSAGE = 'is not a size; write bytes or a text such as "8 GB"';
const DURATION_MESSAGE = 'is not a duration; write a text such as "2s" or "6h"';

const Bytes = v.pipe(
  v.union([v.number(), v.string()], BYTES_MESSAGE),
  v.rawTransform(({ dataset, addIssue, NEVER }) => {
    const { value } = dataset;
    const bytes = typeof value === "number"
      ? value
      : quantity.parseBytes(value);
    if (v.is(backend.Bytes, bytes)) return bytes;
    addIssue({ message: BYTES_MESSAGE });
    return NEVER;
  }),
);

const Duration = v.pipe(
  v.string(DURATION_MESSAGE),
  v.rawTransform(({ dataset, addIssue, NEVER }) => {
    const milliseconds = quantity.parseDurationMs(dataset.value);
    if (v.is(configuration.Tier.entries.maxWaitMs, milliseconds)) {
      return milliseconds;
    }
    addIssue({ message: DURATION_MESSAGE });
    return NEVER;
  }),
);

function boundedList<S extends v.GenericSchema<unknown, unknown>>(schema: S) {
  return v.pipe(v.array(schema), v.maxLength(MAX_ITEMS));
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
  adapters: v.optional(boundedList(Adapter), []),
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

const ServiceSection = v.strictObject({
  name: backend.Name,
  kind: configuration.Service.entries.kind,
  workspaces: boundedList(backend.Name),
});

/** Content of an `ebonypath.toml` file: a service, workspaces, or both. */
export const ServiceFile = v.strictObject({
  service: v.optional(ServiceSection),
  models: v.optional(boundedList(Model), []),
  routes: v.optional(boundedList(Route), []),
  tiers: v.optional(boundedList(Tier), []),
  workspaces: v.optional(boundedList(Workspace), []),
});
export type ServiceFile = v.InferOutput<typeof ServiceFile>;
