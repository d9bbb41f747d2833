import { Command } from 'clipanion';
import { ExitCode } from '../exit-code.js';
import { BaseCommand } from './base-command.js';

/** `chervilseam snapshot` */
export class SnapshotCommand extends BaseCommand {
  static override paths = [['snapshot']];

  static override usage = Command.Usage({
    description: 'Writes the whole configuration state as JSON, with its digest.',
  });

  protected override run(): Promise<number> {
    return this.withLog(async ({ fold }) => {
      this.context.stdout.write(`${JSON.stringify(fold.snapshot(), null, 2)}\n`);
      return ExitCode.ok;
    });
  }
}
