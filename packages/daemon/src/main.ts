import { readFile } from 'node:fs/promises';
import { formatFinding } from '@chervilseam/model';
import { Cli, Command, Option } from 'clipanion';
import { Daemon } from './lib/daemon.js';
import { parseSettings } from './lib/settings/parse-settings.js';
import { readSecret } from './lib/settings/read-secret.js';
import type { Settings } from './lib/settings/settings.js';

const EXIT_BAD_INPUT = 2;
const EXIT_FAILED = 1;

/** Runs a daemon, or only checks or prints its settings. */
class ServeCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'Runs one instance, which serves callers and owns endpoints.',
    details:
      'Exit codes: 0 stopped by a signal or settings valid, 1 failed to start, 2 settings invalid.',
    examples: [['Check settings', '$0 --check --settings instance.toml']],
  });

  settingsFile = Option.String('--settings', {
    required: true,
    description: 'TOML file with the settings',
  });
  isCheck = Option.Boolean('--check', false, { description: 'check the settings and exit' });
  isPrint = Option.Boolean('--print-settings', false, {
    description: 'print the settings, with defaults, and exit',
  });

  override async execute(): Promise<number> {
    const text = await readFile(this.settingsFile, 'utf8');
    const { settings, findings } = parseSettings(this.settingsFile, text);
    if (!settings) {
      findings.forEach((finding) => this.context.stderr.write(`${formatFinding(finding)}\n`));
      return EXIT_BAD_INPUT;
    }
    if (this.isPrint) this.context.stdout.write(`${JSON.stringify(settings, null, 2)}\n`);
    if (this.isCheck || this.isPrint) return 0;
    return this.#serve(settings);
  }

  async #serve(settings: Settings): Promise<number> {
    const { peerKeyFile, peerKeyEnv, operatorKeyFile, operatorKeyEnv } = settings.secrets;
    const daemon = new Daemon(settings, {
      peerKey: await readSecret('peer key', peerKeyFile, peerKeyEnv),
      operatorKey: await readSecret('operator key', operatorKeyFile, operatorKeyEnv),
    });
    // A signal may come while the daemon starts, when it accepts requests already.
    const stopRequest = new Promise<void>((resolve) => {
      process.once('SIGTERM', resolve);
      process.once('SIGINT', resolve);
      // Without a listener, a second SIGTERM would end the process while requests are in progress.
      process.on('SIGTERM', () => {});
      process.on('SIGHUP', () => daemon.noteReload());
    });
    try {
      await daemon.start();
    } catch (error) {
      this.context.stderr.write(`chervilseamd: cannot start: ${(error as Error).message}\n`);
      daemon.kill();
      return EXIT_FAILED;
    }
    await stopRequest;
    await daemon.stop();
    return 0;
  }
}

const cli = new Cli({ binaryName: 'chervilseamd', binaryLabel: 'chervilseamd' });
cli.register(ServeCommand);
process.exitCode = await cli.run(process.argv.slice(2));
