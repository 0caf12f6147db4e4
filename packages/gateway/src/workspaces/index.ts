/** Workspaces: whose request it is, and where it may run. */
export type {Authentication} from './authenticate';
export {authenticate} from './authenticate';
export {routeForWorkspace} from './route_for_workspace';
export {WorkspaceDirectory} from './workspace_directory';
export {findWorkspaceProblems} from './workspace_problems';
