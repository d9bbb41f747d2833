const RUNS_IN_CI = 200;

/** Number of sequences per fuzz test: 200 in CI, more with `npm run fuzz`. */
export const fuzzRuns = Number(process.env.CHERVILSEAM_FUZZ_RUNS ?? RUNS_IN_CI);
