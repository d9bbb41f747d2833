const RUNS_IN_CI = 200;

/** Sequences of each fuzz test: 200 in CI, more by `npm run fuzz`. */
export const fuzzRuns = Number(process.env.CHERVILSEAM_FUZZ_RUNS ?? RUNS_IN_CI);
