/* eslint-disable */
// One instance of the program, started with the words of the deploy file.
import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { readFile, writeFile } from 'node:fs/promises';
import { createServer, connect } from 'node:net';
import { dirname, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..');

const readRunWords = async () => {
  const text = await readFile(`${ROOT}/deploy/system.toml`, 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
};

// A port that is free at this address now.
export const freePort = (host) =>
  new Promise((done, fail) => {
    const server = createServer();
    server.on('error', fail);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => done(port));
    });
  });

// The program's metrics have a fixed port, so each instance has a loopback address of its own.
const METRICS_PORT = 7_391;
const taken = new Set();

const isFree = (host) =>
  new Promise((done) => {
    const server = createServer();
    server.on('error', () => done(false));
    server.listen(METRICS_PORT, host, () => server.close(() => done(true)));
  });

const freeHost = async () => {
  for (;;) {
    const host = `127.${64 + Math.floor(Math.random() * 128)}.${Math.floor(Math.random() * 256)}.${1 + Math.floor(Math.random() * 250)}`;
    if (!taken.has(host) && (await isFree(host))) {
      taken.add(host);
      return host;
    }
  }
};

export class Instance {
  #child;
  #words;
  exits = [];

  static async create(name, folder) {
    const host = await freeHost();
    const one = new Instance();
    one.#words = await readRunWords();
    one.name = name;
    one.host = host;
    one.front = await freePort(host);
    one.ready = await freePort(host);
    one.control = await freePort(host);
    one.file = `${folder}/${name}.conf`;
    one.log = createWriteStream(`${folder}/${name}.log`, { flags: 'a' });
    return one;
  }

  get peerAddress() {
    return `${this.host}:${this.control}`;
  }

  get pid() {
    return this.#child?.pid;
  }

  async writeSettings(storeAddress, seeds, extra = {}) {
    const settings = {
      NodeName: this.name,
      Role: 'gateway',
      MachineClass: 'front',
      Serves: 'front,control',
      Ip: this.host,
      Zone: 'zone-a',
      Region: 'region',
      'Zones.zone-a': 'region',
      'Listen.Front': `${this.host}:${this.front}`,
      'Listen.Ready': `${this.host}:${this.ready}`,
      'Listen.Control': this.peerAddress,
      PortRange: '7380,7395',
      Seeds: seeds.join(','),
      Bootstrap: 'true',
      InTolerance: 'false',
      'Limits.CpuShare': '0.675',
      'Limits.Cores': '1',
      'Limits.MemoryMb': '350',
      'Limits.MaxFds': '4200',
      'Limits.LinkMbps': '1000.0',
      'Limits.DiskMb': '0',
      Discovery: 'platform',
      Entry: 'virtual_ip',
      HeartbeatMs: '1200',
      Contracts: 'base,drain,config,cost,retry,recover,fleet,stream,engine,platform',
      'FaultTolerance.Machines': '1',
      'FaultTolerance.Zones': '1',
      'FaultTolerance.Regions': '0',
      'Bounds.SeedLagS': '3',
      'Bounds.ReuseAfterS': '2',
      'Bounds.StableWindowMs': '3000',
      'Bounds.AckMs': '4000',
      'Bounds.SyncS': '4',
      'Bounds.DrainMs': '2000',
      'Bounds.GraceS': '8',
      'Bounds.LossSlackMs': '200',
      'Bounds.ConfigApplyMs': '2000',
      'Bounds.RollbackSlackMs': '250',
      'Bounds.MaxStretchMs': '5000',
      'Bounds.RetryBudgetRatio': '0.2',
      'Bounds.BudgetWindowS': '10',
      'Bounds.BudgetSlack': '52',
      'Bounds.RecoverS': '12',
      'Bounds.PassMs': '120',
      'Bounds.RetryAfterS': '0',
      'Bounds.RequireFence': 'false',
      'Bounds.LeaseMs': '3000',
      'Bounds.ThawMs': '300',
      'Bounds.CeilingWindowS': '5',
      'Bounds.CeilingOver': '1.1',
      'Platform.Address': storeAddress,
      'Platform.form': 'log',
      'Platform.WritesPerS': '400',
      'Platform.ReadsPerS': '2000',
      'Platform.parts': '12',
      'Platform.AppendMs': '2.0',
      'Platform.PartMbS': '20.0',
      'Platform.ReadMbS': '80.0',
      'Platform.RecordBytes': '262144',
      'Platform.CallBytes': '2097152',
      'Platform.keep_s': '20',
      'Platform.PartMb': '200',
      'Platform.TtlMinMs': '1000',
      ...extra,
    };
    const lines = Object.entries(settings).map(([key, value]) => `${key}=${value}`);
    await writeFile(this.file, `${lines.join('\n')}\n`);
  }

  start() {
    const [program, ...words] = this.#words;
    const child = spawn(program, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME ?? '/',
        LANG: 'C',
        CHERVILSEAM_BOOT: this.file,
      },
    });
    child.stdout.on('data', (data) => this.log.write(data));
    child.stderr.on('data', (data) => this.log.write(data));
    child.on('exit', (code, signal) => this.exits.push({ atMs: performance.now(), code, signal }));
    this.#child = child;
  }

  get isRunning() {
    return (
      this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null
    );
  }

  signal(name) {
    if (this.isRunning) this.#child.kill(name);
  }

  // Asks the ready address once, as the platform does.
  isReady() {
    return new Promise((done) => {
      const socket = connect(this.ready, this.host);
      let text = '';
      socket.setTimeout(500, () => socket.destroy());
      socket.on('connect', () =>
        socket.write('GET /chervilseam/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'),
      );
      socket.on('data', (data) => {
        text += data;
      });
      socket.on('error', () => {});
      socket.on('close', () => done(text.startsWith('HTTP/1.1 200')));
    });
  }

  async untilReady(limitMs = 20_000) {
    const endMs = performance.now() + limitMs;
    while (performance.now() < endMs) {
      if (await this.isReady()) return;
      await new Promise((done) => setTimeout(done, 100));
    }
    throw new Error(`${this.name} did not become ready`);
  }
}
