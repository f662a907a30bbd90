import * as protocol from "@ebonypath/protocol";
import * as security from "../security/mod.ts";

/** An operator as the host knows it. */
export interface Operator {
  readonly name: string;
  readonly token: string;
  readonly rights: readonly protocol.settings.Right[];
}

/**
 * Finds the operator of an `Authorization` header. Every token is compared,
 * so that the time does not tell which one matched.
 *
 * @throws {protocol.errors.Refusal} when no operator has the token.
 * @example
 * ```ts
 * const operator = authenticate(operators, request.headers.authorization);
 * ```
 */
export function authenticate(
  operators: readonly Operator[],
  header: string | undefined,
): Operator {
  const token = security.bearerToken(header);
  let found: Operator | undefined;
  for (const operator of operators) {
    const equal = security.equalSecrets(operator.token, token ?? "");
    if (equal && token !== null) found = operator;
  }
  if (found !== undefined) return found;
  const detail = token === null ? "no bearer token came" : "unknown token";
  throw new protocol.errors.Refusal(protocol.errors.TOKEN_REFUSED, detail);
}

/**
 * Checks that an operator has a right.
 *
 * @throws {protocol.errors.Refusal} when it has not.
 * @example
 * ```ts
 * requireRight(operator, "publish");
 * ```
 */
export function requireRight(
  operator: Operator,
  right: protocol.settings.Right,
): void {
  if (operator.rights.includes(right)) return;
  throw new protocol.errors.Refusal(
    protocol.errors.RIGHT_MISSING,
    `operator ${operator.name} has no right "${right}"`,
  );
}
