import { Command, Option } from 'clipanion';
import { ExitCode } from '../exit-code.js';
import { planChanges } from '../plan-changes.js';
import { FileCommand } from './file-command.js';

/** `chervilseam diff FILE…`: shows the changes that `apply` would publish. */
export class DiffCommand extends FileCommand {
  static override paths = [['diff']];

  static override usage = Command.Usage({
    description: 'Shows the changes that apply would publish.',
  });

  isPruning = Option.Boolean('--prune', false, {
    description: 'include the deletion of objects that the files do not contain',
  });

  protected override async run(): Promise<number> {
    const objects = await this.readFiles();
    if (!objects) return ExitCode.badInput;
    return this.withFollower(async ({ fold }) => {
      const changes = planChanges(fold.objects, objects, this.isPruning);
      this.print(
        changes.map(({ kind, name, baseRevision, body }) => {
          const current = fold.objects.get(`${kind}/${name}`);
          const verb = current ? 'change' : 'create';
          return {
            action: body === null ? 'delete' : verb,
            object: `${kind}/${name}`,
            baseRevision,
            before: current?.body ?? '',
            after: body ?? '',
          };
        }),
      );
      return ExitCode.ok;
    });
  }
}
