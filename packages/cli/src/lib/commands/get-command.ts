import { Command, Option } from 'clipanion';
import { ExitCode } from '../exit-code.js';
import { BaseCommand } from './base-command.js';

/** `chervilseam get [KIND[/NAME]]`: shows objects in force. */
export class GetCommand extends BaseCommand {
  static override paths = [['get']];

  static override usage = Command.Usage({
    description: 'Shows the objects in force: all, those of a kind, or one by kind/name.',
  });

  /** Kind or `kind/name` of the objects to show; all objects without one. */
  wanted = Option.String({ required: false });

  protected override run(): Promise<number> {
    return this.withFollower(async ({ fold }) => {
      const filter = this.wanted ?? '';
      const chosen = [...fold.objects].filter(
        ([key, { kind }]) => filter === '' || key === filter || kind === filter,
      );
      if (chosen.length === 0 && filter !== '') {
        this.context.stderr.write(`chervilseam: there is no kind or object "${filter}"\n`);
        return ExitCode.notFound;
      }
      this.print(
        chosen.map(([key, { revision, author, body }]) => ({
          object: key,
          revision,
          author,
          body,
        })),
      );
      return ExitCode.ok;
    });
  }
}
