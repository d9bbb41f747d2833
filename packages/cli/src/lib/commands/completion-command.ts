import { Command } from 'clipanion';
import { ExitCode } from '../exit-code.js';

/** `chervilseam completion`: prints a completion script for bash. */
export class CompletionCommand extends Command {
  static override paths = [['completion']];

  static override usage = Command.Usage({
    description: 'Prints a completion script for bash.',
  });

  override async execute(): Promise<number> {
    const names = this.cli.definitions().map(({ path }) => path.split(' ').slice(1).join(' '));
    const words = names.filter((name) => name !== '').join(' ');
    this.context.stdout.write(`complete -o default -W "${words}" chervilseam\n`);
    return ExitCode.ok;
  }
}
