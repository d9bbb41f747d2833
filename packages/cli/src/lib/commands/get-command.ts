import { Command, Option } from 'clipanion';
import { ExitCode } from '../exit-code.js';
import { BaseCommand } from './base-command.js';

/** `chervilseam get [KIND[/NAME]]` */
export class GetCommand extends BaseCommand {
  static override paths = [['get']];

  static override usage = Command.Usage({
    description: 'Shows objects in force, by kind, by kind/name, or all.',
  });

  wanted = Option.String({ required: false });

  protected override run(): Promise<number> {
    return this.withLog(async ({ fold }) => {
      const prefix = this.wanted ?? '';
      const chosen = [...fold.objects].filter(
        ([key, { kind }]) => prefix === '' || key === prefix || kind === prefix,
      );
      if (chosen.length === 0 && prefix !== '') {
        this.context.stderr.write(`chervilseam: nothing is called "${prefix}"\n`);
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
