// Plays the cases in review/ and prints a line for each: command, rule, held or broken, seconds. The day of case 4 is played
// when BENCH (the program) and BENCH_SITE (a site file) are set; SEEDS lists its seeds.
import { spawn } from 'node:child_process';
import { readdir, readFile } from 'node:fs/promises';

const MS_PER_SECOND = 1_000;
const { BENCH, BENCH_SITE, SEEDS = '1' } = process.env;

const run = (command, words) =>
  new Promise((resolve) => {
    let output = '';
    const child = spawn(command, words);
    child.stdout.on('data', (data) => {
      output += data;
    });
    child.on('error', (error) => resolve({ code: 2, output: error.message }));
    child.on('close', (code) => resolve({ code, output }));
  });

const verdictOf = {
  0: 'held',
  1: 'broken',
};

const play = async (rule, command, words, isBroken) => {
  const startMs = performance.now();
  const { code, output } = await run(command, words);
  const verdict = isBroken?.(output) ? 'broken' : (verdictOf[code] ?? 'could not run');
  const seconds = Math.round((performance.now() - startMs) / MS_PER_SECOND);
  process.stdout.write(`${[command, ...words].join(' ')}  ${rule}  ${verdict}  ${seconds} s\n`);
  if (verdict !== 'held') process.exitCode = 1;
};

const playsOf = async (folder) => {
  const [, rule] = /^rule: (\w+)/.exec(await readFile(`${folder}/claim.txt`, 'utf8')) ?? [];
  const files = await readdir(folder);
  if (files.includes('run.sh')) return [() => play(rule, `${folder}/run.sh`, [])];
  const day = `${folder}/day.toml`;
  if (!BENCH || !BENCH_SITE) {
    const line = `${day}  ${rule}  not run: BENCH and BENCH_SITE are not set\n`;
    return [async () => process.stdout.write(line)];
  }
  return SEEDS.split(',').map(
    (seed) => () =>
      play(rule, BENCH, ['run', BENCH_SITE, day, '--seed', seed], (output) =>
        /^rules broken/m.test(output),
      ),
  );
};

const numbers = (await readdir('review')).filter((name) => /^\d+$/.test(name)).sort();
const plays = (await Promise.all(numbers.map((number) => playsOf(`review/${number}`)))).flat();
// One after the other: each uses much of the processor, and some the same loopback addresses.
await plays.reduce((before, next) => before.then(next), Promise.resolve());
