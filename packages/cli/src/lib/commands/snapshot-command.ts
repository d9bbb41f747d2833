import { Command } from 'clipanion';
import { ExitCode } from '../exit-code.js';
import { BaseCommand } from './base-command.js';

/** `chervilseam snapshot`: prints the state of the configuration. */
export class SnapshotCommand extends BaseCommand {
  static override paths = [['snapshot']];

  static override usage = Command.Usage({
    description: 'Prints the complete state of the configuration as JSON, with its digest.',
  });

  protected override run(): Promise<number> {
    return this.withFollower(async ({ fold }) => {
      this.context.stdout.write(`${JSON.stringify(fold.snapshot(), null, 2)}\n`);
      return ExitCode.ok;
    });
  }
}
