/** Whole deployments as local processes: quickstart, path benchmark, slopes and tests. */
package org.lentilsail.system;
