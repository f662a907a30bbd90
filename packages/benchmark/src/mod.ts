/** Placeholder. */
export {};
