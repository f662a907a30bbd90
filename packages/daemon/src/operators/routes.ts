import type * as http from "node:http";
import * as protocol from "@ebonypath/protocol";
import * as v from "valibot";
import * as fleet from "../fleet/mod.ts";
import * as listener from "../listener/mod.ts";
import type * as authorization from "./authorization.ts";
import type * as httpBody from "../http_body/mod.ts";
import * as body from "./body.ts";
import type * as access from "./control_access.ts";
import * as outcome from "./outcome.ts";

const { operators: api } = protocol;

/** Maximum number of entries on one page of the audit trail. */
export const AUDIT_PAGE_ENTRIES = 500;

/** An authenticated request with its dependencies. */
export interface Call {
  readonly request: http.IncomingMessage;
  readonly operator: authorization.Operator;
  readonly control: access.ControlAccess;
  readonly limits: httpBody.BodyLimits;
  /** Decoded path segments that match the parameters of the route. */
  readonly parameters: readonly string[];
  readonly query: URLSearchParams;
}

/** A method and path with its handler. */
export interface Route {
  readonly method: "GET" | "POST" | "DELETE";
  /** Path pattern; a segment that starts with `:` matches any value. */
  readonly path: string;
  readonly right: protocol.settings.Right;
  readonly run: (call: Call) => Promise<unknown>;
}

/** All routes of the operators' interface. */
export const ROUTES: readonly Route[] = [
  readRoute("/v1/configuration", ({ control }) => readConfiguration(control)),
  readRoute("/v1/configuration/:version", readVersion),
  changeRoute("POST", "/v1/configuration", "publish", publish),
  readRoute("/v1/keys", listKeys),
  changeRoute("POST", "/v1/keys", "operate", grantKey),
  changeRoute("DELETE", "/v1/keys/:id", "operate", withdrawKey),
  readRoute("/v1/failure-domains", listFailureDomains),
  changeRoute(
    "POST",
    "/v1/failure-domains/:name/withdraw",
    "operate",
    (call) => changeFailureDomain(call, "withdraw-failure-domain"),
  ),
  changeRoute(
    "POST",
    "/v1/failure-domains/:name/restore",
    "operate",
    (call) => changeFailureDomain(call, "restore-failure-domain"),
  ),
  readRoute("/v1/members", ({ control }) => control.members()),
  changeRoute("POST", "/v1/members/add", "operate", addMember),
  changeRoute("POST", "/v1/members/remove", "operate", removeMember),
  changeRoute("POST", "/v1/members/replace", "operate", replaceMember),
  readRoute("/v1/status", ({ control }) => control.status()),
  readRoute(
    "/v1/hosts",
    async ({ control }) => ({ hosts: await control.hosts() }),
  ),
  readRoute("/v1/explanation", explain),
  readRoute("/v1/audit", readAudit),
  readRoute("/v1/quarantine", listQuarantines),
  changeRoute(
    "DELETE",
    "/v1/quarantine/:fingerprint",
    "operate",
    releaseQuarantine,
  ),
];

function readRoute(path: string, run: Route["run"]): Route {
  return { method: "GET", path, right: "read", run };
}

function changeRoute(
  method: "POST" | "DELETE",
  path: string,
  right: protocol.settings.Right,
  run: Route["run"],
): Route {
  return { method, path, right, run };
}

async function readConfiguration(
  control: access.ControlAccess,
  version?: number,
): Promise<protocol.operators.PublishedVersion> {
  const published = await control.configuration(version);
  if (published !== undefined) return published;
  throw new protocol.errors.Refusal(
    protocol.errors.NO_SUCH_ITEM,
    `version ${version ?? "in force"} is not kept`,
  );
}

function readVersion(call: Call): Promise<unknown> {
  const version = Number(pathParameter(call, 0));
  if (!Number.isSafeInteger(version) || version < 0) {
    throw body.invalidRequest("the version is not a whole number");
  }
  return readConfiguration(call.control, version);
}

async function publish(call: Call): Promise<protocol.operators.ChangeResponse> {
  const payload = await body.readJson(
    call.request,
    api.PublishRequest,
    call.limits,
  );
  const issues = protocol.configuration.validateConfiguration(
    payload.configuration,
  );
  if (issues.length > 0) {
    const messages = issues.map(protocol.configuration.renderIssue);
    throw body.invalidRequest(messages.join("; "));
  }
  return propose(call, { kind: "publish", ...operatorField(call), ...payload });
}

async function listKeys(call: Call): Promise<protocol.operators.Keys> {
  const { keys } = await call.control.view();
  return {
    keys: keys.map(({ id, workspace, label, grantedMs }) => ({
      id,
      workspace,
      label,
      grantedMs,
    })),
  };
}

async function grantKey(
  call: Call,
): Promise<protocol.operators.ChangeResponse> {
  const payload = await body.readJson(
    call.request,
    api.GrantKeyRequest,
    call.limits,
  );
  return propose(call, {
    kind: "grant-key",
    ...operatorField(call),
    ...payload,
  });
}

function withdrawKey(call: Call): Promise<protocol.operators.ChangeResponse> {
  const keyId = nameParameter(call, 0);
  const changeId = changeIdParameter(call);
  return propose(call, {
    kind: "withdraw-key",
    ...operatorField(call),
    changeId,
    keyId,
  });
}

async function listFailureDomains(
  call: Call,
): Promise<protocol.operators.FailureDomains> {
  const { withdrawnFailureDomains } = await call.control.view();
  return { withdrawn: withdrawnFailureDomains };
}

async function changeFailureDomain(
  call: Call,
  kind: "withdraw-failure-domain" | "restore-failure-domain",
): Promise<protocol.operators.ChangeResponse> {
  const failureDomain = nameParameter(call, 0);
  const { changeId } = await body.readJson(
    call.request,
    api.ChangeRequest,
    call.limits,
  );
  return propose(call, {
    kind,
    ...operatorField(call),
    changeId,
    failureDomain,
  });
}

async function addMember(
  call: Call,
): Promise<protocol.operators.ChangeResponse> {
  const payload = await body.readJson(
    call.request,
    api.AddMemberRequest,
    call.limits,
  );
  return changeMembers(call, {
    kind: "add",
    ...operatorField(call),
    ...payload,
  });
}

async function removeMember(
  call: Call,
): Promise<protocol.operators.ChangeResponse> {
  const { request, limits } = call;
  const payload = await body.readJson(request, api.RemoveMemberRequest, limits);
  return changeMembers(call, {
    kind: "remove",
    ...operatorField(call),
    ...payload,
  });
}

async function replaceMember(
  call: Call,
): Promise<protocol.operators.ChangeResponse> {
  const { request, limits } = call;
  const payload = await body.readJson(
    request,
    api.ReplaceMemberRequest,
    limits,
  );
  return changeMembers(call, {
    kind: "replace",
    ...operatorField(call),
    ...payload,
  });
}

function explain(call: Call): Promise<protocol.operators.Explanation> {
  const question = v.safeParse(api.Question, Object.fromEntries(call.query));
  if (question.success) return call.control.explain(question.output);
  const [issue] = question.issues;
  throw body.invalidRequest(`${v.getDotPath(issue)}: ${issue.message}`);
}

async function readAudit(call: Call): Promise<protocol.operators.AuditPage> {
  const after = Number(call.query.get("after") ?? 0);
  if (!Number.isSafeInteger(after) || after < 0) {
    throw body.invalidRequest("after is not a whole number");
  }
  const entries = await call.control.auditPage(after, AUDIT_PAGE_ENTRIES + 1);
  const page = entries.slice(0, AUDIT_PAGE_ENTRIES);
  return { entries: page, more: entries.length > page.length };
}

async function listQuarantines(
  call: Call,
): Promise<protocol.operators.Quarantines> {
  const { quarantines } = await call.control.view();
  return { quarantines };
}

function releaseQuarantine(
  call: Call,
): Promise<protocol.operators.ChangeResponse> {
  const fingerprint = pathParameter(call, 0);
  if (!/^[0-9a-f]{16,128}$/.test(fingerprint)) {
    throw body.invalidRequest("the fingerprint is not in hexadecimal");
  }
  const changeId = changeIdParameter(call);
  const kind = "release-quarantine";
  return propose(call, { kind, ...operatorField(call), changeId, fingerprint });
}

function operatorField(call: Call): { operator: string } {
  return { operator: call.operator.name };
}

async function propose(
  call: Call,
  command: access.OperatorCommand,
): Promise<protocol.operators.ChangeResponse> {
  await requireOperator(call);
  const result = await call.control.propose(command);
  return { index: outcome.acceptedIndex(result) };
}

async function changeMembers(
  call: Call,
  change: access.MemberChange,
): Promise<protocol.operators.ChangeResponse> {
  await requireOperator(call);
  const result = await call.control.changeMembers(change);
  return { index: outcome.acceptedIndex(result) };
}

/**
 * A change that was given up, and is read late, may come after another one that
 * the operator made elsewhere under another change ID.
 *
 * @throws {fleet.Unreachable} the operator has left; nothing was changed
 */
async function requireOperator({ request }: Call): Promise<void> {
  if (await listener.isCallerWaiting(request)) return;
  throw new fleet.Unreachable("change", "operator", "the operator has left");
}

function pathParameter(call: Call, position: number): string {
  return call.parameters[position] ?? "";
}

function nameParameter(call: Call, position: number): string {
  const name = pathParameter(call, position);
  if (v.is(protocol.backend.Name, name)) return name;
  throw body.invalidRequest(
    "the name in the path has characters that names lack",
  );
}

/** Reads the change ID of a request without a body from its query. */
function changeIdParameter(call: Call): string {
  const changeId = call.query.get("change_id") ?? "";
  if (v.is(api.ChangeId, changeId)) return changeId;
  throw body.invalidRequest(
    "the query parameter change_id is missing or malformed",
  );
}
