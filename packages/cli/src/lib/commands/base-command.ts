import { HttpLog } from '@chervilseam/ports';
import { Command, Option } from 'clipanion';
import { ExitCode } from '../exit-code.js';
import { LogFollower } from '../log-follower.js';
import { print } from '../print.js';

const CALL_TIMEOUT_MS = 5_000;

/** What all commands share: the output format and the way to the log. */
export abstract class BaseCommand extends Command {
  output = Option.String('--output', 'table', { description: 'json or table' });
  logUrl = Option.String('--log', process.env.CHERVILSEAM_LOG_URL ?? 'http://127.0.0.1:7800', {
    description: 'where the log listens; also CHERVILSEAM_LOG_URL',
  });

  /** @returns the command's exit code */
  protected abstract run(): Promise<number>;

  override async execute(): Promise<number> {
    try {
      return await this.run();
    } catch (error) {
      this.context.stderr.write(`chervilseam: ${(error as Error).message}\n`);
      return ExitCode.failed;
    }
  }

  /** @param rows - rows to write in the chosen format */
  protected print(rows: readonly Readonly<Record<string, unknown>>[]): void {
    print(this.context.stdout, this.output, rows);
  }

  /**
   * Reads the configuration and closes the log again.
   *
   * @param use - what to do with it
   * @returns what `use` returned
   */
  protected async withLog<T>(use: (follower: LogFollower) => Promise<T>): Promise<T> {
    const log = new HttpLog(this.logUrl, CALL_TIMEOUT_MS);
    const follower = new LogFollower(log);
    try {
      await follower.catchUp();
      return await use(follower);
    } finally {
      await log.close();
    }
  }
}
