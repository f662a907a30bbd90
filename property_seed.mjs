/**
 * Gives property tests that name no seed of their own the same one in each run,
 * or the one of the environment variable `PROPERTY_SEED`, to search further.
 */
import process from "node:process";
import fastCheck from "fast-check";

const DEFAULT_SEED = 20_261_206;

fastCheck.configureGlobal({
  seed: Number(process.env.PROPERTY_SEED ?? DEFAULT_SEED),
});
