import { randomUUID } from 'node:crypto';
import { Command, Option } from 'clipanion';
import { ExitCode } from '../exit-code.js';
import { planChanges } from '../plan-changes.js';
import { FileCommand } from './file-command.js';

/** `chervilseam apply FILE…`: publishes the objects of files. */
export class ApplyCommand extends FileCommand {
  static override paths = [['apply']];

  static override usage = Command.Usage({
    description:
      'Publishes configuration files; reads the log to report whether the change was accepted.',
    details: 'Exit codes: 0 accepted, 1 failed, 2 invalid, 3 conflict with another change.',
  });

  author = Option.String('--author', process.env.USER ?? 'operator', {
    description: 'name recorded as the author of the change',
  });
  isPruning = Option.Boolean('--prune', false, {
    description: 'delete the objects that the files do not contain',
  });

  protected override async run(): Promise<number> {
    const objects = await this.readFiles();
    if (!objects) return ExitCode.badInput;
    return this.withFollower(async (follower) => {
      const changes = planChanges(follower.fold.objects, objects, this.isPruning);
      if (changes.length === 0) {
        this.context.stdout.write('nothing to change\n');
        return ExitCode.ok;
      }
      const { author } = this;
      const record = { type: 'config' as const, id: randomUUID(), author, changes };
      const decision = await follower.publish(record);
      this.print([{ ...decision, keys: decision.keys.join(' ') }]);
      if (decision.isAccepted) return ExitCode.ok;
      return decision.winnerOffset > 0 ? ExitCode.conflict : ExitCode.badInput;
    });
  }
}
