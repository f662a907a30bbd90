import * as errors from "../errors/mod.ts";
import * as quantity from "../quantity/mod.ts";
import type * as types from "./types.ts";

/** A value of a configuration field, as displayed to operators. */
export type Value = string | number | boolean;

type Fields = Readonly<Record<string, Value>>;

/** A difference between two versions of the configuration. */
export type Difference =
  | {
    readonly kind: "added";
    /** Type and name of the item, e.g. `model advice/assistant-small`. */
    readonly subject: string;
    readonly fields: Fields;
  }
  | { readonly kind: "removed"; readonly subject: string }
  | {
    readonly kind: "changed";
    readonly subject: string;
    readonly field: string;
    readonly before: Value;
    readonly after: Value;
  };

/**
 * Lists the changes that turn `before` into `after`.
 *
 * @example
 * ```ts
 * for (const difference of diffConfiguration(active, proposed)) {
 *   console.log(renderDifference(difference));
 * }
 * ```
 */
export function diffConfiguration(
  before: types.Configuration,
  after: types.Configuration,
): Difference[] {
  const oldItems = flatten(before);
  const newItems = flatten(after);
  const differences: Difference[] = [];
  for (const [subject, fields] of newItems) {
    const oldFields = oldItems.get(subject);
    if (oldFields === undefined) {
      differences.push({ kind: "added", subject, fields });
    } else {
      differences.push(...diffFields(subject, oldFields, fields));
    }
  }
  for (const subject of oldItems.keys()) {
    if (!newItems.has(subject)) differences.push({ kind: "removed", subject });
  }
  return differences;
}

/**
 * Formats a difference as one line that starts with `+`, `-` or `~`.
 *
 * @example
 * ```ts
 * renderDifference({ kind: "removed", subject: "tier advice/later" }); // "- tier advice/later"
 * ```
 */
export function renderDifference(difference: Difference): string {
  switch (difference.kind) {
    case "added": {
      const fields = Object.entries(difference.fields)
        .map(([field, value]) => ` ${field}=${quote(value)}`);
      return `+ ${difference.subject}${fields.join("")}`;
    }
    case "removed":
      return `- ${difference.subject}`;
    case "changed": {
      const { subject, field, before, after } = difference;
      return `~ ${subject} ${field}: ${quote(before)} -> ${quote(after)}`;
    }
    default:
      return errors.assertNever(difference);
  }
}

function quote(value: Value): string {
  const text = String(value);
  return text === "" || text.includes(" ") ? JSON.stringify(text) : text;
}

function diffFields(
  subject: string,
  oldFields: Fields,
  newFields: Fields,
): Difference[] {
  const differences: Difference[] = [];
  for (const [field, after] of Object.entries(newFields)) {
    const before = oldFields[field];
    if (before === undefined || before === after) continue;
    differences.push({ kind: "changed", subject, field, before, after });
  }
  return differences;
}

/** Maps each item to its fields, under the keys used in service files. */
function flatten(configuration: types.Configuration): Map<string, Fields> {
  const subjects = new Map<string, Fields>();
  for (const workspace of configuration.workspaces) {
    subjects.set(`workspace ${workspace.name}`, {
      rate: workspace.rate,
      burst: workspace.burst,
      weight: workspace.weight,
      "deferred_limit": workspace.deferredLimit,
    });
  }
  for (const service of configuration.services) {
    flattenService(service, subjects);
  }
  return subjects;
}

function flattenService(
  service: types.Service,
  subjects: Map<string, Fields>,
): void {
  subjects.set(`service ${service.name}`, {
    kind: service.kind,
    workspaces: [...service.workspaces].sort().join(","),
    tiers: service.tiers.map(({ name }) => name).join(","),
  });
  for (const model of service.models) {
    flattenModel(`${service.name}/${model.name}`, model, subjects);
  }
  for (const { method, path, idempotent, open, cost } of service.routes) {
    const subject = `route ${service.name} ${method} ${path}`;
    subjects.set(subject, { idempotent, open, cost });
  }
  for (const tier of service.tiers) {
    subjects.set(`tier ${service.name}/${tier.name}`, {
      "max_wait": quantity.renderDurationMs(tier.maxWaitMs),
      "price_factor": tier.priceFactor,
      delivery: tier.delivery,
    });
  }
}

function flattenModel(
  reference: string,
  model: types.Model,
  subjects: Map<string, Fields>,
): void {
  subjects.set(`model ${reference}`, {
    version: model.version,
    bytes: quantity.renderBytes(model.bytes),
    "kv_bytes": quantity.renderBytes(model.kvBytes),
    "max_replicas": model.maxReplicas,
    "default_max_tokens": model.defaultMaxTokens,
  });
  for (const { name, version, bytes } of model.adapters) {
    const subject = `adapter ${reference}:${name}`;
    subjects.set(subject, { version, bytes: quantity.renderBytes(bytes) });
  }
}
