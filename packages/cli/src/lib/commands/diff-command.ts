import { Command, Option } from 'clipanion';
import { ExitCode } from '../exit-code.js';
import { planChanges } from '../plan-changes.js';
import { FileCommand } from './file-command.js';

/** `chervilseam diff FILE…` */
export class DiffCommand extends FileCommand {
  static override paths = [['diff']];

  static override usage = Command.Usage({
    description: 'Shows what apply would change.',
  });

  isPruning = Option.Boolean('--prune', false, { description: 'count what the files lack' });

  protected override async run(): Promise<number> {
    const objects = await this.readFiles();
    if (!objects) return ExitCode.badInput;
    return this.withLog(async ({ fold }) => {
      const changes = planChanges(fold.objects, objects, this.isPruning);
      this.print(
        changes.map(({ kind, name, baseRevision, body }) => {
          const known = fold.objects.get(`${kind}/${name}`);
          const verb = known ? 'change' : 'create';
          return {
            action: body === null ? 'delete' : verb,
            object: `${kind}/${name}`,
            baseRevision,
            before: known?.body ?? '',
            after: body ?? '',
          };
        }),
      );
      return ExitCode.ok;
    });
  }
}
