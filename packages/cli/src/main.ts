#!/usr/bin/env node
/**
 * Entry point of `ebonypath`.
 *
 * @module
 */
import process from "node:process";
import * as program from "./program.ts";

process.exitCode = await program.run(process.argv.slice(2), {
  out: process.stdout,
  error: process.stderr,
  environment: process.env,
});
