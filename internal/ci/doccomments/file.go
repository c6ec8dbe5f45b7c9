package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
)

// missingIn names the exported items of a file that have no doc comment. Generated
// files have none missing.
func missingIn(path string, src []byte) ([]string, error) {
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, path, src, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil || ast.IsGenerated(file) {
		return nil, err
	}
	var missing []string
	report := func(name *ast.Ident) {
		missing = append(missing, fmt.Sprintf("%s: exported %s has no doc comment", fset.Position(name.Pos()), name.Name))
	}
	for _, decl := range file.Decls {
		switch d := decl.(type) {
		case *ast.FuncDecl:
			if d.Name.IsExported() && receiverExported(d) && d.Doc == nil {
				report(d.Name)
			}
		case *ast.GenDecl:
			for _, name := range undocumented(d) {
				report(name)
			}
		}
	}
	return missing, nil
}

// receiverExported tells whether a function can be reached from other packages by
// its receiver: it has none, or one of an exported type.
func receiverExported(f *ast.FuncDecl) bool {
	if f.Recv == nil {
		return true
	}
	typ := f.Recv.List[0].Type
	for {
		switch t := typ.(type) {
		case *ast.StarExpr:
			typ = t.X
		case *ast.IndexExpr:
			typ = t.X
		case *ast.IndexListExpr:
			typ = t.X
		case *ast.Ident:
			return t.IsExported()
		default:
			return true
		}
	}
}

// undocumented are the exported names of a declaration for which neither it nor
// their own line has a comment.
func undocumented(d *ast.GenDecl) (names []*ast.Ident) {
	if d.Doc != nil {
		return nil
	}
	for _, spec := range d.Specs {
		switch s := spec.(type) {
		case *ast.TypeSpec:
			if s.Name.IsExported() && s.Doc == nil {
				names = append(names, s.Name)
			}
		case *ast.ValueSpec:
			if s.Doc != nil || s.Comment != nil {
				continue
			}
			for _, name := range s.Names {
				if name.IsExported() {
					names = append(names, name)
				}
			}
		}
	}
	return names
}
