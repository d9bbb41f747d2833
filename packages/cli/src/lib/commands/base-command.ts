import { HttpLog } from '@chervilseam/ports';
import { Command, Option } from 'clipanion';
import { ExitCode } from '../exit-code.js';
import { LogFollower } from '../log-follower.js';
import { print } from '../print.js';

/** Timeout of calls to the log, in milliseconds. */
const CALL_TIMEOUT_MS = 5_000;

/** Base of the commands: their output format, their access to the log and their errors. */
export abstract class BaseCommand extends Command {
  output = Option.String('--output', 'table', { description: 'json or table' });
  logUrl = Option.String('--log', process.env.CHERVILSEAM_LOG_URL ?? 'http://127.0.0.1:7800', {
    description: 'URL of the log; default: the environment variable CHERVILSEAM_LOG_URL',
  });

  /**
   * Runs the command. An error that it throws is printed and gives exit code 1.
   *
   * @returns the exit code
   */
  protected abstract run(): Promise<number>;

  override async execute(): Promise<number> {
    try {
      return await this.run();
    } catch (error) {
      this.context.stderr.write(`chervilseam: ${(error as Error).message}\n`);
      return ExitCode.failed;
    }
  }

  /** @param rows - rows to write to standard output in the chosen format */
  protected print(rows: readonly Readonly<Record<string, unknown>>[]): void {
    print(this.context.stdout, this.output, rows);
  }

  /**
   * Reads the configuration from the log, calls a function with it and closes the connection.
   *
   * @param use - receives the follower, which has read the stream to its end
   * @returns the result of `use`
   */
  protected async withFollower<T>(use: (follower: LogFollower) => Promise<T>): Promise<T> {
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
