import * as protocol from "@ebonypath/protocol";
import * as security from "../security/mod.ts";

/** An operator with its bearer token and its rights. */
export interface Operator {
  readonly name: string;
  readonly token: string;
  readonly rights: readonly protocol.settings.Right[];
}

/**
 * Returns the operator whose token is in an `Authorization` header. Compares
 * every token, so that the response time does not reveal which one matched.
 *
 * @throws {protocol.errors.Refusal} if no operator has the token.
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
  let match: Operator | undefined;
  for (const operator of operators) {
    const isEqual = security.equalSecrets(operator.token, token ?? "");
    if (isEqual && token !== null) match = operator;
  }
  if (match !== undefined) return match;
  const detail = token === null ? "no bearer token came" : "unknown token";
  throw new protocol.errors.Refusal(protocol.errors.TOKEN_REFUSED, detail);
}

/**
 * Checks that an operator has a right.
 *
 * @throws {protocol.errors.Refusal} if the operator lacks the right.
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
