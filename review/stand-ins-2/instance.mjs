/* eslint import-x/extensions: off, import-x/prefer-default-export: off, no-await-in-loop: off, no-restricted-syntax: off, no-param-reassign: off, n/no-sync: off, n/no-process-exit: off, no-bitwise: off, no-plusplus: off, no-continue: off, max-classes-per-file: off */
// Starts the program with the command of the deploy file, as a process of its own with its own loopback address.
import { spawn } from 'node:child_process';
import { readFileSync, writeFileSync, createWriteStream } from 'node:fs';
import { get } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

const ROOT = new URL('../../', import.meta.url).pathname;
const FRONT_PORT = 8149;
const READY_PORT = 8141;
const CONTROL_PORT = 8144;
const READY_TIMEOUT_MS = 15_000;
const RESTART_DELAY_MS = 500;

/** Address at which the other instances reach the one at a loopback address. */
export const controlOf = (host) => `${host}:${CONTROL_PORT}`;

// The command of the only role, split at spaces as DEPLOY.md says.
const runWords = () => {
  const text = readFileSync(`${ROOT}deploy/system.toml`, 'utf8');
  return /^run = "([^"]+)"$/m.exec(text)[1].split(' ');
};

export class Instance {
  /**
   * @param name - name of the instance
   * @param host - loopback address that only this instance uses, since its metrics port is fixed
   * @param folder - temporary folder for its settings file and its log
   */
  constructor(name, host, folder) {
    this.name = name;
    this.host = host;
    this.folder = folder;
    this.frontPort = FRONT_PORT;
    this.control = controlOf(host);
    /** How its processes ended. */
    this.exits = [];
    this.isStopped = false;
    this.onExit = () => {};
  }

  /** Writes the settings file of a small deployment (the values of `fleetbench wire` for the site) and starts it. */
  start(storeAddress, seeds, extra = {}) {
    const { host } = this;
    const settings = {
      NodeName: this.name,
      Role: 'gateway',
      MachineClass: 'front',
      Serves: 'front,control',
      Ip: host,
      Zone: 'zone-a',
      Region: 'region-a',
      'Zones.zone-a': 'region-a',
      'Listen.Front': `${host}:${FRONT_PORT}`,
      'Listen.Ready': `${host}:${READY_PORT}`,
      'Listen.Control': this.control,
      PortRange: '7380,7395',
      Seeds: seeds.join(','),
      Bootstrap: 'true',
      'Limits.CpuShare': '0.675',
      'Limits.Cores': '1',
      'Limits.MemoryMb': '350',
      'Limits.MaxFds': '4200',
      HeartbeatMs: '1200',
      'Bounds.StableWindowMs': '3000',
      'Bounds.DrainMs': '2000',
      'Bounds.GraceS': '8',
      'Bounds.LossSlackMs': '200',
      'Bounds.ConfigApplyMs': '2000',
      'Bounds.RetryBudgetRatio': '0.2',
      'Bounds.BudgetWindowS': '10',
      'Bounds.BudgetSlack': '52',
      'Bounds.LeaseMs': '3000',
      'Bounds.RetryAfterS': '0',
      'Bounds.CeilingWindowS': '5',
      'Bounds.CeilingOver': '1.1',
      'Platform.Address': storeAddress,
      'Platform.form': 'log',
      'Platform.parts': '12',
      'Platform.TtlMinMs': '1000',
      ...extra,
    };
    this.settingsFile = `${this.folder}/${this.name}.conf`;
    const lines = Object.entries(settings).map(([key, value]) => `${key}=${value}`);
    writeFileSync(this.settingsFile, `${lines.join('\n')}\n`);
    this.#spawn();
  }

  #spawn() {
    const [program, ...words] = runWords();
    const env = {
      PATH: process.env.PATH,
      HOME: process.env.HOME,
      CHERVILSEAM_BOOT: this.settingsFile,
    };
    this.child = spawn(program, words, { cwd: ROOT, env, stdio: ['ignore', 'pipe', 'pipe'] });
    const log = createWriteStream(`${this.folder}/${this.name}.log`, { flags: 'a' });
    this.child.stdout.pipe(log, { end: false });
    this.child.stderr.pipe(log, { end: false });
    this.child.on('exit', (code, signal) => {
      if (this.isStopped) return;
      this.exits.push({ code, signal });
      this.onExit(code, signal);
      // The platform starts a process that has ended again after a short delay.
      setTimeout(() => !this.isStopped && this.#spawn(), RESTART_DELAY_MS);
    });
  }

  signal(name) {
    this.child.kill(name);
  }

  /** Asks for readiness once. */
  isReady() {
    return new Promise((resolve) => {
      const request = get(
        {
          host: this.host,
          port: READY_PORT,
          path: '/chervilseam/ready',
          agent: false,
          timeout: 1000,
        },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve(false));
    });
  }

  async untilReady() {
    const endMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < endMs) {
      if (await this.isReady()) return true;
      await sleep(50);
    }
    return false;
  }

  stop() {
    this.isStopped = true;
    if (this.child && this.child.exitCode === null) this.child.kill('SIGKILL');
  }
}

/** A loopback address that another run does not use at the same time. */
export const loopbackHost = (index) => {
  const seed = process.pid % 60_000;
  return `127.${100 + Math.floor(seed / 250)}.${1 + (seed % 250)}.${10 + index}`;
};
