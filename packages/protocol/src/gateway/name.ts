import * as v from "valibot";

/**
 * A name in a configuration. All hosts must be able to read what one of them has
 * accepted, so the size of a document is its only limit.
 */
export const Name = v.pipe(v.string(), v.minLength(1));
