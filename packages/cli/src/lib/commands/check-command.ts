import { Command } from 'clipanion';
import { ExitCode } from '../exit-code.js';
import { FileCommand } from './file-command.js';

/** `chervilseam check FILE…`: validates files without publishing them. */
export class CheckCommand extends FileCommand {
  static override paths = [['check']];

  static override usage = Command.Usage({
    description: 'Checks configuration files; reports every finding with file, line and column.',
  });

  protected override async run(): Promise<number> {
    const objects = await this.readFiles();
    if (!objects) return ExitCode.badInput;
    this.context.stdout.write(`${objects.length} objects are valid\n`);
    return ExitCode.ok;
  }
}
