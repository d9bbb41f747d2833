import { Command, Option } from 'clipanion';
import { ExitCode } from '../exit-code.js';
import { BaseCommand } from './base-command.js';

/** `chervilseam history KIND/NAME` */
export class HistoryCommand extends BaseCommand {
  static override paths = [['history']];

  static override usage = Command.Usage({
    description: 'Shows who changed an object, who tried to, and who won.',
  });

  wanted = Option.String({ required: false });

  protected override run(): Promise<number> {
    return this.withLog(async ({ fold }) => {
      const chosen = fold.history.filter(
        ({ keys }) => this.wanted === undefined || keys.includes(this.wanted),
      );
      this.print(chosen.map((decision) => ({ ...decision, keys: decision.keys.join(' ') })));
      return ExitCode.ok;
    });
  }
}
