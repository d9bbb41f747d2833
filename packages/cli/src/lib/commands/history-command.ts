import { Command, Option } from 'clipanion';
import { ExitCode } from '../exit-code.js';
import { BaseCommand } from './base-command.js';

/** `chervilseam history [KIND/NAME]`: shows accepted and rejected changes. */
export class HistoryCommand extends BaseCommand {
  static override paths = [['history']];

  static override usage = Command.Usage({
    description:
      'Shows the latest changes of one or all objects, accepted and rejected, with their authors.',
  });

  /** Key of the object, `kind/name`; all objects without one. */
  wanted = Option.String({ required: false });

  protected override run(): Promise<number> {
    return this.withFollower(async ({ fold }) => {
      const chosen = fold.history.filter(
        ({ keys }) => this.wanted === undefined || keys.includes(this.wanted),
      );
      this.print(chosen.map((decision) => ({ ...decision, keys: decision.keys.join(' ') })));
      return ExitCode.ok;
    });
  }
}
